package io.bilberryvalve.daemon.configuration;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Immutable snapshot of the active configuration as texts, before parsing.
 *
 * @param version version, 0 for the empty configuration
 * @param digest digest over the names and digests of all parts, empty for the empty
 * configuration
 * @param digests digests of the texts by the name of their part
 * @param texts texts by the name of their part
 */
public record ConfigurationSnapshot(long version, String digest, Map<String, String> digests,
		Map<String, String> texts) {

	/**
	 * Creates a snapshot with copies of the maps.
	 */
	public ConfigurationSnapshot {
		digests = Collections.unmodifiableMap(new TreeMap<>(digests));
		texts = Collections.unmodifiableMap(new TreeMap<>(texts));
	}

	static ConfigurationSnapshot empty() {
		return new ConfigurationSnapshot(0, "", Map.of(), Map.of());
	}

}
