package io.bilberryvalve.policy.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Crashes of runners that had not answered a prompt with one part yet, and the answers to
 * such prompts. Not safe for use by several threads.
 */
final class PartEvidence {

	/**
	 * Largest numbers of crashes, and of prompts of a crash, that are remembered; more
	 * would not change a decision.
	 */
	private static final int MAX_CRASHES = 8;

	private static final int MAX_PROMPTS = 4;

	/**
	 * Difference in milliseconds above which a reported answer is another one than the
	 * last one known. Smaller ones come from delays on the network, which would add up if
	 * daemons adopted them from each other.
	 */
	private static final long SAME_ANSWER_MILLIS = 1000;

	/**
	 * Time in milliseconds within which crashes of several runners count as one, since
	 * they have a cause in common, such as a loss of power.
	 */
	private static final long SAME_MOMENT_MILLIS = 100;

	private static final long NEVER = Long.MIN_VALUE;

	private final Map<Long, Crash> crashes = new HashMap<>();

	private long answeredAt = NEVER;

	/**
	 * Adds a prompt to a crash. The oldest crash makes room for a new one.
	 * @param runner hash of the runner and the time of its start
	 * @param prompt hash of the prompt
	 * @param at time of the crash in milliseconds
	 * @return whether it was not known
	 */
	boolean addCrash(long runner, long prompt, long at) {
		Crash crash = this.crashes.get(runner);
		if (crash != null) {
			return crash.prompts.size() < MAX_PROMPTS && crash.prompts.add(prompt);
		}
		if (this.crashes.size() >= MAX_CRASHES && !removeOldestBefore(at)) {
			return false;
		}
		this.crashes.put(runner, new Crash(at, new HashSet<>(Set.of(prompt))));
		return true;
	}

	private boolean removeOldestBefore(long at) {
		return this.crashes.entrySet()
			.stream()
			.min(Comparator.comparingLong((entry) -> entry.getValue().at))
			.filter((oldest) -> oldest.getValue().at < at)
			.map((oldest) -> this.crashes.remove(oldest.getKey()))
			.isPresent();
	}

	/**
	 * Records an answer, which shows that the part did not cause the crashes before it.
	 * @param at time of the answer in milliseconds
	 * @return whether it is later than those that were known
	 */
	boolean recordAnswer(long at) {
		boolean later = at > this.answeredAt;
		this.answeredAt = Math.max(this.answeredAt, at);
		return later;
	}

	/**
	 * Records an answer that another daemon reports.
	 * @param at time of the answer in milliseconds
	 * @return whether it was not known
	 */
	boolean recordReportedAnswer(long at) {
		boolean known = isAnswered() && at - this.answeredAt <= SAME_ANSWER_MILLIS;
		return !known && recordAnswer(at);
	}

	Map<Long, Crash> crashes() {
		return this.crashes;
	}

	boolean isAnswered() {
		return this.answeredAt != NEVER;
	}

	long answeredAt() {
		return this.answeredAt;
	}

	/**
	 * Returns whether other daemons should know of this evidence.
	 * @param oldest time in milliseconds before which an answer is known to all
	 * @return whether a crash is unexplained or an answer is recent
	 */
	boolean isOpen(long oldest) {
		return this.answeredAt >= oldest || !unexplained().isEmpty();
	}

	/**
	 * Returns the crashes after the last answer.
	 * @return hashes of the runners
	 */
	Set<Long> unexplained() {
		return this.crashes.entrySet()
			.stream()
			.filter((crash) -> crash.getValue().at > this.answeredAt)
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	/**
	 * Returns how many times the part may have caused a crash independently: neither the
	 * same prompt nor the same moment counts twice.
	 * @param runners hashes of the runners whose crashes count
	 * @return number of independent crashes
	 */
	int independentCrashes(Set<Long> runners) {
		List<Crash> counted = this.crashes.entrySet()
			.stream()
			.filter((crash) -> runners.contains(crash.getKey()))
			.map(Map.Entry::getValue)
			.sorted((one, other) -> Long.compare(one.at, other.at))
			.toList();
		Set<Long> prompts = new HashSet<>();
		int moments = 0;
		long moment = NEVER;
		for (Crash crash : counted) {
			prompts.addAll(crash.prompts);
			if (moment == NEVER || crash.at - moment > SAME_MOMENT_MILLIS) {
				moment = crash.at;
				moments++;
			}
		}
		return Math.min(moments, prompts.size());
	}

	long lastCrash(Set<Long> runners) {
		return this.crashes.entrySet()
			.stream()
			.filter((crash) -> runners.contains(crash.getKey()))
			.mapToLong((crash) -> crash.getValue().at)
			.max()
			.orElse(NEVER);
	}

	long lastChange() {
		return Math.max(this.answeredAt, lastCrash(this.crashes.keySet()));
	}

	/**
	 * Forgets what happened before a time.
	 * @param oldest time in milliseconds
	 * @return whether nothing is left
	 */
	boolean forgetBefore(long oldest) {
		this.crashes.values().removeIf((crash) -> crash.at < oldest);
		return this.crashes.isEmpty() && this.answeredAt < oldest;
	}

	/**
	 * Crash of a runner.
	 *
	 * @param at time in milliseconds at which it was first noticed
	 * @param prompts hashes of the prompts that it had not answered
	 */
	record Crash(long at, Set<Long> prompts) {

	}

}
