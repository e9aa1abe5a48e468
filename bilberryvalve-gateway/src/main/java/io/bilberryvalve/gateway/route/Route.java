package io.bilberryvalve.gateway.route;

import java.time.Duration;
import java.util.List;

/**
 * Where requests of a host and a path prefix go.
 *
 * @param name name of the route
 * @param host host without port
 * @param prefix path prefix, beginning and ending with a slash
 * @param kind what may be repeated
 * @param timeout longest time until the final answer
 * @param targetLatency time within which callers want the answer or its first event
 * @param targetGap longest pause between events that callers want
 * @param priority rank, 0 first
 * @param targets services with their shares of the traffic
 * @param maxAttempts runners to which one request may be sent
 * @param isPublic whether callers need no key
 * @param resumable whether a stream can be continued after an event
 */
public record Route(String name, String host, String prefix, RequestKind kind, Duration timeout, Duration targetLatency,
		Duration targetGap, int priority, List<WeightedService> targets, int maxAttempts, boolean isPublic,
		boolean resumable) {

	/**
	 * Copies the targets.
	 * @throws IllegalArgumentException if there is no target or no attempt
	 */
	public Route {
		if (targets.isEmpty() || maxAttempts < 1) {
			throw new IllegalArgumentException("route " + name + " needs a service and at least one attempt");
		}
		targets = List.copyOf(targets);
	}

	/**
	 * Tells whether a request may run again after it may have run.
	 * @return whether it may be repeated or resumed
	 */
	public boolean isRepeatable() {
		return this.kind == RequestKind.IDEMPOTENT || (this.kind == RequestKind.STREAMING && this.resumable);
	}

	/**
	 * Chooses the service of a request.
	 * @param draw any number, uniformly distributed
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
