package io.bilberryvalve.policy.quarantine;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import com.dynatrace.hash4j.hashing.Hashing;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Finds parts of prompts that crash runners, and tells for how long requests with them
 * are rejected. A part comes under suspicion if runners crashed, at different times,
 * before they had answered different prompts with it. An answer to any prompt with the
 * part ends the suspicion, so that parts which only accompany a bad one keep their
 * service. Without further crashes the suspicion lapses. Daemons exchange what they have
 * seen and decide alike. Safe for use by several threads.
 */
public final class PartQuarantine {

	private static final System.Logger LOGGER = System.getLogger(PartQuarantine.class.getName());

	/**
	 * Independent crashes that make a part suspect. A single one may be due to the last
	 * part of the prompt, or to another request at the same runner.
	 */
	private static final int SUSPECTED = 2;

	/** Independent crashes after which chance is no longer a likely explanation. */
	private static final int CONFIRMED = 3;

	/**
	 * Short, so that a part that is suspected wrongly soon gets a chance to be answered.
	 */
	private static final long SUSPECTED_MILLIS = 2000;

	/**
	 * Factor by which the time rises with each prompt while several parts fit equally.
	 */
	private static final int UNDECIDED_FACTOR = 3;

	private static final long CONFIRMED_MILLIS = 60_000;

	/** Time after which crashes and answers are forgotten. */
	private static final long MEMORY_MILLIS = 60_000;

	/**
	 * Largest number of parts that are remembered; a crash concerns those of a few
	 * requests.
	 */
	private static final int MAX_PARTS = 256;

	/** Largest number of parts in a report, which keeps it within one datagram. */
	private static final int MAX_REPORTED = 48;

	private final Clock clock;

	private final Map<String, PartEvidence> own = new HashMap<>();

	private final Map<String, PartEvidence> all = new HashMap<>();

	private volatile Set<String> remembered = Set.of();

	private volatile Map<String, Long> heldUntil = Map.of();

	/**
	 * Creates a quarantine without suspects.
	 * @param clock monotonic clock
	 */
	public PartQuarantine(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Returns for how long requests with a prompt are rejected.
	 * @param prompt parts of the prompt
	 * @return milliseconds; 0 if the request may be sent
	 */
	public long heldMillis(PromptParts prompt) {
		Map<String, Long> held = this.heldUntil;
		if (held.isEmpty() || Collections.disjoint(prompt.shared(), held.keySet())) {
			return 0;
		}
		long until = prompt.shared().stream().mapToLong((part) -> held.getOrDefault(part, 0L)).max().orElse(0);
		return Math.max(0, until - this.clock.millis());
	}

	/**
	 * Records that a runner crashed before it had answered a prompt.
	 * @param prompt parts of the prompt
	 * @param runner identifier of the runner
	 * @param startedMillis time of the runner's start, which distinguishes its crashes
	 */
	public synchronized void recordCrash(PromptParts prompt, RunnerId runner, long startedMillis) {
		long now = this.clock.millis();
		long promptHash = Hashing.komihash5_0().hashCharsToLong(prompt.own());
		long runnerHash = Hashing.komihash5_0().hashCharsToLong(runner.value() + '/' + startedMillis);
		for (String part : prompt.shared()) {
			evidence(this.own, part).addCrash(runnerHash, promptHash, now);
			evidence(this.all, part).addCrash(runnerHash, promptHash, now);
		}
		update(now);
	}

	/**
	 * Records that a runner has answered a prompt.
	 * @param prompt parts of the prompt
	 */
	public void recordAnswer(PromptParts prompt) {
		if (!Collections.disjoint(prompt.shared(), this.remembered)) {
			recordAnswer(prompt, this.clock.millis());
		}
	}

	private synchronized void recordAnswer(PromptParts prompt, long now) {
		for (String part : prompt.shared()) {
			if (this.all.containsKey(part)) {
				evidence(this.own, part).recordAnswer(now);
				evidence(this.all, part).recordAnswer(now);
			}
		}
		update(now);
	}

	/**
	 * Returns what this daemon itself has seen lately, for the other daemons.
	 * @return the latest reports first
	 */
	public synchronized List<PartReport> report() {
		if (this.own.isEmpty()) {
			return List.of();
		}
		long now = this.clock.millis();
		update(now);
		return this.own.entrySet()
			.stream()
			.sorted(Comparator.comparingLong((entry) -> -entry.getValue().lastChange()))
			.limit(MAX_REPORTED)
			.map((entry) -> report(entry.getKey(), entry.getValue(), now))
			.toList();
	}

	private static PartReport report(String part, PartEvidence evidence, long now) {
		List<PartReport.Crash> crashes = new ArrayList<>();
		evidence.crashes()
			.forEach((runner, crash) -> crash.prompts()
				.forEach((prompt) -> crashes.add(new PartReport.Crash(runner, prompt, now - crash.at()))));
		return new PartReport(part, crashes,
				evidence.isAnswered() ? OptionalLong.of(now - evidence.answeredAt()) : OptionalLong.empty());
	}

	/**
	 * Applies what another daemon has seen.
	 * @param reports reports of that daemon; those beyond the largest number are ignored
	 */
	public synchronized void applyReports(List<PartReport> reports) {
		long now = this.clock.millis();
		boolean changed = false;
		for (PartReport report : reports.subList(0, Math.min(MAX_REPORTED, reports.size()))) {
			PartEvidence evidence = evidence(this.all, report.part());
			for (PartReport.Crash crash : report.crashes()) {
				changed |= evidence.addCrash(crash.runner(), crash.prompt(), now - crash.ageMillis());
			}
			OptionalLong answered = report.answeredAgeMillis();
			changed |= answered.isPresent() && evidence.recordAnswer(now - answered.getAsLong());
		}
		if (changed) {
			update(now);
		}
	}

	private static PartEvidence evidence(Map<String, PartEvidence> parts, String part) {
		PartEvidence known = parts.get(part);
		if (known != null) {
			return known;
		}
		if (parts.size() >= MAX_PARTS) {
			parts.entrySet()
				.stream()
				.min(Comparator.comparingLong((entry) -> entry.getValue().lastChange()))
				.map(Map.Entry::getKey)
				.ifPresent(parts::remove);
		}
		PartEvidence created = new PartEvidence();
		parts.put(part, created);
		return created;
	}

	private void update(long now) {
		this.own.values().removeIf((evidence) -> evidence.forgetBefore(now - MEMORY_MILLIS));
		this.all.values().removeIf((evidence) -> evidence.forgetBefore(now - MEMORY_MILLIS));
		this.remembered = Set.copyOf(this.all.keySet());
		Map<String, Long> before = this.heldUntil;
		this.heldUntil = decide(now);
		logChanges(before, this.heldUntil, now);
	}

	// Parts that fit more crashes come first. Crashes that a confirmed part explains do
	// not count against the parts that accompanied it.
	private Map<String, Long> decide(long now) {
		Map<String, Set<Long>> suspects = new HashMap<>();
		this.all.forEach((part, evidence) -> {
			Set<Long> crashes = evidence.unexplained();
			if (evidence.independentCrashes(crashes) >= SUSPECTED) {
				suspects.put(part, crashes);
			}
		});
		List<String> order = suspects.keySet()
			.stream()
			.sorted(Comparator.comparingInt((part) -> -suspects.get(part).size()))
			.toList();
		Map<String, Long> result = new HashMap<>();
		Set<Long> explained = new HashSet<>();
		for (String part : order) {
			PartEvidence evidence = this.all.get(part);
			Set<Long> crashes = suspects.get(part);
			Set<Long> open = crashes.stream().filter((crash) -> !explained.contains(crash)).collect(Collectors.toSet());
			int count = evidence.independentCrashes(open);
			boolean confirmed = count >= CONFIRMED
					&& suspects.values().stream().filter((other) -> other.containsAll(crashes)).count() == 1;
			long until = evidence.lastCrash(open) + holdMillis(count, confirmed);
			if (count >= SUSPECTED && until > now) {
				result.put(part, until);
			}
			if (confirmed) {
				explained.addAll(crashes);
			}
		}
		return Map.copyOf(result);
	}

	private static long holdMillis(int crashes, boolean confirmed) {
		if (confirmed) {
			return CONFIRMED_MILLIS;
		}
		long millis = SUSPECTED_MILLIS;
		for (int i = SUSPECTED; i < crashes; i++) {
			millis *= UNDECIDED_FACTOR;
		}
		return Math.min(CONFIRMED_MILLIS, millis);
	}

	private static void logChanges(Map<String, Long> before, Map<String, Long> after, long now) {
		after.forEach((part, until) -> {
			if (until > before.getOrDefault(part, 0L)) {
				LogEvent.of("prompt-part-held")
					.with("part", part)
					.with("millis", until - now)
					.log(LOGGER, System.Logger.Level.WARNING);
			}
		});
		before.keySet()
			.stream()
			.filter((part) -> !after.containsKey(part))
			.forEach((part) -> LogEvent.of("prompt-part-released")
				.with("part", part)
				.log(LOGGER, System.Logger.Level.INFO));
	}

}
