package io.bilberryvalve.policy.rollout;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The row {@code configuration/head}: the accepted version and its parts.
 *
 * @param version accepted version, 0 before the first submission
 * @param parts digest of each part by its name
 * @param recent last accepted submissions, the latest first
 */
public record Head(long version, Map<String, String> parts, List<Accepted> recent) {

	/** Accepted submissions that a head remembers. */
	public static final int REMEMBERED = 50;

	/**
	 * Copies the collections.
	 */
	public Head {
		parts = Collections.unmodifiableMap(new TreeMap<>(parts));
		recent = List.copyOf(recent);
	}

	/**
	 * Returns the head before the first submission.
	 * @return the head with version 0
	 */
	public static Head empty() {
		return new Head(0, Map.of(), List.of());
	}

	Head with(String submission, String part, String digest) {
		Map<String, String> next = new TreeMap<>(this.parts);
		next.put(part, digest);
		List<Accepted> accepted = new ArrayList<>();
		accepted.add(new Accepted(submission, this.version + 1, part, digest));
		this.recent.stream().limit(REMEMBERED - 1L).forEach(accepted::add);
		return new Head(this.version + 1, next, accepted);
	}

	SortedSet<String> changedSince(long base) {
		SortedSet<String> changed = new TreeSet<>();
		this.recent.stream().filter((accepted) -> accepted.version() > base).map(Accepted::part).forEach(changed::add);
		return changed;
	}

	boolean remembersSince(long base) {
		return this.version - base <= this.recent.size();
	}

	/**
	 * An accepted submission.
	 *
	 * @param submission its identifier
	 * @param version version that it created
	 * @param part the part that it replaced
	 * @param digest digest of the new part
	 */
	public record Accepted(String submission, long version, String part, String digest) {

	}

}
