package io.bilberryvalve.config;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

import io.bilberryvalve.model.ClubId;

/**
 * The configuration in force: one part for the federation and one for each club.
 *
 * @param version version, 0 for the empty configuration, rising with each accepted
 * submission
 * @param federation part that all clubs share
 * @param clubs part of each club, in the order of their identifiers
 */
public record FederationConfiguration(long version, FederationPart federation, Map<ClubId, ClubPart> clubs) {

	/**
	 * Copies the parts.
	 */
	public FederationConfiguration {
		clubs = Collections.unmodifiableMap(new TreeMap<>(clubs));
	}

	/**
	 * Returns the configuration before the first submission.
	 * @return the empty configuration, version 0
	 */
	public static FederationConfiguration empty() {
		return new FederationConfiguration(0, FederationPart.empty(), Map.of());
	}

	/**
	 * Returns the configuration with one part replaced.
	 * @param nextVersion version of the result
	 * @param part the new part
	 * @return the configuration
	 */
	public FederationConfiguration with(long nextVersion, ConfigurationPart part) {
		if (part instanceof FederationPart next) {
			return new FederationConfiguration(nextVersion, next, this.clubs);
		}
		ClubPart next = (ClubPart) part;
		Map<ClubId, ClubPart> parts = new TreeMap<>(this.clubs);
		parts.put(next.club(), next);
		return new FederationConfiguration(nextVersion, this.federation, parts);
	}

}
