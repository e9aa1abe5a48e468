package io.bilberryvalve.gateway.route;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the configuration: routes, services, teams and limits. Immutable; the
 * handling of requests reads the newest table through one reference.
 */
public final class RouteTable {

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, Service> services = new HashMap<>();

	private final Map<String, Team> teamsByKey = new HashMap<>();

	private final CallerLimits limits;

	private final boolean teamsDeclared;

	/**
	 * Creates a table.
	 * @param version version of the configuration
	 * @param routes routes of all hosts
	 * @param services services of the routes
	 * @param teams teams of callers; if there are none, callers need no key
	 * @param limits limits for callers
	 * @throws IllegalArgumentException if two services have the same name
	 */
	public RouteTable(long version, Collection<Route> routes, Collection<Service> services, Collection<Team> teams,
			CallerLimits limits) {
		this.version = version;
		this.routesByHost = routes.stream()
			.sorted(Comparator.comparingInt((Route route) -> -route.prefix().length()))
			.collect(Collectors.groupingBy((route) -> route.host().toLowerCase(Locale.ROOT)));
		services.forEach((service) -> {
			if (this.services.put(service.name(), service) != null) {
				throw new IllegalArgumentException("service " + service.name() + " is declared twice");
			}
		});
		teams.forEach((team) -> team.keys().forEach((key) -> this.teamsByKey.put(key, team)));
		this.teamsDeclared = !teams.isEmpty();
		this.limits = limits;
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version; a newer configuration has a higher one
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits for callers.
	 * @return limits on their requests and connections
	 */
	public CallerLimits limits() {
		return this.limits;
	}

	/**
	 * Returns all services.
	 * @return the services in no particular order
	 */
	public Collection<Service> services() {
		return Collections.unmodifiableCollection(this.services.values());
	}

	/**
	 * Finds a service.
	 * @param name name of the service
	 * @return the service, or empty if none has the name
	 */
	public Optional<Service> findService(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Finds the route with the longest matching prefix.
	 * @param host value of the {@code Host} header, with or without port
	 * @param target request target, whose query is ignored
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> findRoute(String host, String target) {
		int colon = host.lastIndexOf(':');
		String name = ((colon > 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
		int query = target.indexOf('?');
		String path = (query >= 0) ? target.substring(0, query) : target;
		return this.routesByHost.getOrDefault(name, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.prefix()))
			.findFirst();
	}

	/**
	 * Returns whether callers need an API key.
	 * @return {@code true} if teams are declared
	 */
	public boolean requiresKey() {
		return this.teamsDeclared;
	}

	/**
	 * Finds the team of an API key.
	 * @param key key of a caller
	 * @return the team, or empty if no team has the key
	 */
	public Optional<Team> findTeam(String key) {
		return Optional.ofNullable(this.teamsByKey.get(key));
	}

}
