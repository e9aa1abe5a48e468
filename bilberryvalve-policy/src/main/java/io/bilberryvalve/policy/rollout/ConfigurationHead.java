package io.bilberryvalve.policy.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Content of the row {@code configuration/head}: the accepted version of the
 * configuration and its parts. Immutable.
 *
 * @param version accepted version, 0 before the first submission
 * @param parts digests of the parts, by name of the part
 * @param recent accepted submissions, the latest first, at most {@value #MAX_RECENT}
 */
public record ConfigurationHead(long version, Map<String, String> parts, List<AcceptedSubmission> recent) {

	/** Largest number of accepted submissions that a head lists. */
	public static final int MAX_RECENT = 50;

	/**
	 * Copies the collections.
	 */
	public ConfigurationHead {
		parts = Collections.unmodifiableMap(new TreeMap<>(parts));
		recent = List.copyOf(recent);
	}

	/**
	 * Returns the head before the first submission.
	 * @return head with version 0 and no parts
	 */
	public static ConfigurationHead empty() {
		return new ConfigurationHead(0, Map.of(), List.of());
	}

	ConfigurationHead withSubmission(String submission, String part, String digest) {
		Map<String, String> next = new TreeMap<>(this.parts);
		next.put(part, digest);
		List<AcceptedSubmission> accepted = new ArrayList<>();
		accepted.add(new AcceptedSubmission(submission, this.version + 1, part, digest));
		this.recent.stream().limit(MAX_RECENT - 1L).forEach(accepted::add);
		return new ConfigurationHead(this.version + 1, next, accepted);
	}

	SortedSet<String> changedSince(long base) {
		SortedSet<String> changed = new TreeSet<>();
		this.recent.stream()
			.filter((accepted) -> accepted.version() > base)
			.map(AcceptedSubmission::part)
			.forEach(changed::add);
		return changed;
	}

	boolean recentCovers(long base) {
		return this.version - base <= this.recent.size();
	}

	/**
	 * An accepted submission.
	 *
	 * @param submission identifier of the submission
	 * @param version version that the submission created
	 * @param part name of the part that it replaced
	 * @param digest digest of the new part
	 */
	public record AcceptedSubmission(String submission, long version, String part, String digest) {

	}

}
