package io.bilberryvalve.gateway.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * Group of callers.
 *
 * @param name name of the team
 * @param keys API keys of its callers
 * @param priority rank of its requests, which replaces that of the route; empty to use
 * that of the route
 */
public record Team(String name, List<String> keys, OptionalInt priority) {

	/**
	 * Copies the keys.
	 */
	public Team {
		keys = List.copyOf(keys);
	}

}
