package io.bilberryvalve.gateway.route;

import java.util.List;
import java.util.OptionalInt;

/**
 * A group of callers.
 *
 * @param name name of the team
 * @param keys its API keys
 * @param priority rank of its requests, which precedes that of the route
 */
public record Team(String name, List<String> keys, OptionalInt priority) {

	/**
	 * Copies the keys.
	 */
	public Team {
		keys = List.copyOf(keys);
	}

}
