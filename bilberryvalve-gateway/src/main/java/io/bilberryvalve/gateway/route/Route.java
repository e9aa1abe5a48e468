package io.bilberryvalve.gateway.route;

import java.time.Duration;
import java.util.List;

/**
 * Rule that directs requests for a host and a path prefix to services.
 *
 * @param name name of the route
 * @param host host without port
 * @param prefix path prefix, beginning and ending with a slash
 * @param kind states whether requests may be run more than once
 * @param timeout longest time from a request to its final answer
 * @param targetLatency target for the time until the answer, or until the first event of
 * a stream
 * @param targetGap target for the longest pause between two events of a stream
 * @param priority rank of the requests; 0 is the first
 * @param targets services with their shares of the traffic
 * @param maxAttempts largest number of runners to which one request may be sent, at least
 * 1
 * @param isPublic whether callers need no key
 * @param resumable whether a stream can be continued after an event
 */
public record Route(String name, String host, String prefix, RequestKind kind, Duration timeout, Duration targetLatency,
		Duration targetGap, int priority, List<WeightedService> targets, int maxAttempts, boolean isPublic,
		boolean resumable) {

	/**
	 * Checks the values and copies the targets.
	 * @throws IllegalArgumentException if there is no target or no attempt
	 */
	public Route {
		if (targets.isEmpty() || maxAttempts < 1) {
			throw new IllegalArgumentException("route " + name + " needs a service and at least one attempt");
		}
		targets = List.copyOf(targets);
	}

	/**
	 * Returns whether a request may be sent again after a runner may have run it.
	 * @return {@code true} if it may be repeated, or resumed as a stream
	 */
	public boolean isRepeatable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAMING && this.resumable);
	}

	/**
	 * Selects the service for a request by the weights of the targets.
	 * @param draw uniformly distributed random number of any size
	 * @return name of the service
	 */
	public String selectService(int draw) {
		int total = this.targets.stream().mapToInt(WeightedService::weight).sum();
		int rest = (total > 0) ? Math.floorMod(draw, total) : 0;
		for (WeightedService target : this.targets) {
			rest -= target.weight();
			if (rest < 0) {
				return target.service();
			}
		}
		return this.targets.get(0).service();
	}

	/**
	 * A service with its share of the traffic.
	 *
	 * @param service name of the service
	 * @param weight share relative to the other targets
	 */
	public record WeightedService(String service, int weight) {

	}

}
