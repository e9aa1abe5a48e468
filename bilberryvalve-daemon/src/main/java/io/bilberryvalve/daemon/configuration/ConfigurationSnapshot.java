package io.bilberryvalve.daemon.configuration;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The configuration in force as texts.
 *
 * @param version its version, 0 for the empty configuration
 * @param digest digest of the version
 * @param digests digest of each part by its name
 * @param texts text of each part by its name
 */
public record ConfigurationSnapshot(long version, String digest, Map<String, String> digests,
		Map<String, String> texts) {

	/**
	 * Copies the maps.
	 */
	public ConfigurationSnapshot {
		digests = Collections.unmodifiableMap(new TreeMap<>(digests));
		texts = Collections.unmodifiableMap(new TreeMap<>(texts));
	}

	static ConfigurationSnapshot empty() {
		return new ConfigurationSnapshot(0, "", Map.of(), Map.of());
	}

}
