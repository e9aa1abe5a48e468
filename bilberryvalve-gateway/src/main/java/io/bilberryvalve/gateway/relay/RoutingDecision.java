package io.bilberryvalve.gateway.relay;

import java.util.Optional;

import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.gateway.route.Team;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.queue.RequestCost;
import io.bilberryvalve.policy.queue.RequestDemand;
import io.bilberryvalve.policy.queue.WaitQueue;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/**
 * Result of matching a request against the configuration: whether it may be served, and
 * by which service.
 */
sealed interface RoutingDecision {

	/**
	 * Matches a request against the routes, teams and services of a configuration.
	 * @param request headers of the request
	 * @param target request target, a path with an optional query
	 * @param table the configuration in force
	 * @return the decision
	 */
	static RoutingDecision of(RequestHead request, String target, RouteTable table) {
		Optional<Route> route = table.findRoute(request.host(), target);
		if (route.isEmpty()) {
			return new Denied(HttpResponseStatus.NOT_FOUND, "no route for this host and path");
		}
		String attempt = request.attempt();
		if (attempt == null) {
			return new Denied(HttpResponseStatus.BAD_REQUEST,
					"the request has no " + request.headerNames().attemptId());
		}
		Optional<Team> team = table.findTeam(request.key());
		boolean keyed = table.requiresKey() && !route.get().isPublic();
		if (keyed && team.isEmpty()) {
			return new Denied(HttpResponseStatus.UNAUTHORIZED, "the key is unknown");
		}
		Optional<Service> service = table.findService(route.get().selectService(attempt.hashCode()));
		if (service.isEmpty()) {
			return new Unavailable("the service of the route is not declared");
		}
		EngineProfile engine = service.get().engine();
		RequestSize size = (engine != null) ? request.expectedSize(engine) : new RequestSize(0, 0);
		long timeout = route.get().timeout().toMillis();
		return new Allowed(route.get(), keyed ? team.orElse(null) : null, service.get(), size,
				Math.min(timeout, request.deadlineMillis(timeout)));
	}

	/**
	 * The request may be served.
	 *
	 * @param route the matching route
	 * @param team team of the caller, or {@code null} on a route that needs no key
	 * @param service the service whose runners serve the request
	 * @param size expected number of tokens at an engine; zero for application runners
	 * @param timeoutMillis longest time until the final answer: the shorter one of the
	 * route's limit and the caller's deadline
	 */
	record Allowed(Route route, @Nullable Team team, Service service, RequestSize size,
			long timeoutMillis) implements RoutingDecision {

		/**
		 * Returns the priority of the request.
		 * @return priority of its team, or of its route if the team has none; lower
		 * numbers are served first
		 */
		int priority() {
			return (this.team != null) ? this.team.priority().orElse(this.route.priority()) : this.route.priority();
		}

		/**
		 * Returns by what the request is queued. Its team is the one of the key of its
		 * caller, so that callers cannot choose it.
		 * @param queuePriority class in the queue; lower numbers are served first
		 * @param limits how long the request may wait
		 * @return class, team, estimated cost and limits
		 */
		RequestDemand demand(int queuePriority, WaitQueue.WaitLimits limits) {
			String name = (this.team != null) ? this.team.name() : "";
			return new RequestDemand(queuePriority, name, RequestCost.of(this.size), limits);
		}

	}

	/**
	 * The request is refused, because it is invalid, its key is unknown, or no route
	 * matches.
	 *
	 * @param status HTTP status of the response
	 * @param reason cause, which is sent to the caller as the body and logged
	 */
	record Denied(HttpResponseStatus status, String reason) implements RoutingDecision {

	}

	/**
	 * The request is allowed, but its service is not declared in this configuration, so
	 * that the caller should retry.
	 *
	 * @param reason cause, which is sent to the caller as the body and logged
	 */
	record Unavailable(String reason) implements RoutingDecision {

	}

}
