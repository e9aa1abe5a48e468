package io.bilberryvalve.gateway.relay;

import java.util.Optional;

import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.gateway.route.Team;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/**
 * What the configuration says about a request.
 */
sealed interface RequestCheck {

	/**
	 * Checks a request.
	 * @param request its headers
	 * @param target its request target
	 * @param table the configuration
	 * @return what the configuration says
	 */
	static RequestCheck of(RequestHead request, String target, RouteTable table) {
		Optional<Route> route = table.findRoute(request.host(), target);
		if (route.isEmpty()) {
			return new Denied(HttpResponseStatus.NOT_FOUND, "no route for this host and path");
		}
		String attempt = request.attempt();
		if (attempt == null) {
			return new Denied(HttpResponseStatus.BAD_REQUEST, "the request has no " + request.dialect().attemptId());
		}
		Optional<Team> team = table.findTeam(request.key());
		boolean keyed = table.requiresKey() && !route.get().isPublic();
		if (keyed && team.isEmpty()) {
			return new Denied(HttpResponseStatus.UNAUTHORIZED, "the key is unknown");
		}
		Optional<Service> service = table.findService(route.get().selectService(attempt.hashCode()));
		if (service.isEmpty()) {
			return new Unserved("the service of the route is not declared");
		}
		EngineProfile engine = service.get().engine();
		RequestSize size = (engine != null) ? request.size(engine) : new RequestSize(0, 0);
		long timeout = route.get().timeout().toMillis();
		return new Allowed(route.get(), keyed ? team.orElse(null) : null, service.get(), size,
				Math.min(timeout, request.deadlineMillis(timeout)));
	}

	/**
	 * The request may be served.
	 *
	 * @param route its route
	 * @param team team of the caller, or {@code null} on a route that needs no key
	 * @param service where it goes
	 * @param size its size at an engine
	 * @param limitMillis time until its final answer
	 */
	record Allowed(Route route, @Nullable Team team, Service service, RequestSize size,
			long limitMillis) implements RequestCheck {

		/**
		 * Returns the rank of the request.
		 * @return the rank of its team, or else of its route; 0 is first
		 */
		int priority() {
			return (this.team != null) ? this.team.priority().orElse(this.route.priority()) : this.route.priority();
		}

	}

	/**
	 * The configuration does not allow the request.
	 *
	 * @param status status for the caller
	 * @param reason why
	 */
	record Denied(HttpResponseStatus status, String reason) implements RequestCheck {

	}

	/**
	 * The configuration allows the request, but it cannot be served at present.
	 *
	 * @param reason why
	 */
	record Unserved(String reason) implements RequestCheck {

	}

}
