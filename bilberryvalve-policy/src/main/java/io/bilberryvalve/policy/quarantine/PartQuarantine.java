package io.bilberryvalve.policy.quarantine;

import java.time.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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

	private static final long CONFIRMED_MILLIS = 60_000;

	/** Time after which crashes and answers are forgotten. */
	private static final long MEMORY_MILLIS = 120_000;

	/**
	 * Age above which reported crashes are ignored, so that daemons do not remind each
	 * other of what they are about to forget.
	 */
	private static final long MAX_REPORTED_AGE_MILLIS = 110_000;

	/**
	 * Time between two requests that are sent after a hold has ended and before an answer
	 * or a crash decides; longer than a runner takes to begin its answer.
	 */
	private static final long TRIAL_INTERVAL_MILLIS = 1000;

	/**
	 * Largest number of parts that are remembered; a crash concerns those of a few
	 * requests.
	 */
	private static final int MAX_PARTS = 256;

	/**
	 * Largest number of crashes, of all parts and of one part, that are reported. They
	 * keep a report below 1 kB, since large datagrams are lost more often; a decision
	 * needs three crashes of a part.
	 */
	private static final int MAX_REPORTED = 24;

	private static final int MAX_REPORTED_OF_PART = 4;

	/**
	 * Time for which an answer is reported that leaves no crash of a part unexplained.
	 * Several reports are sent in it.
	 */
	private static final long REPORT_ANSWER_MILLIS = 2000;

	/** Parts with most unexplained crashes first, and the latest of those. */
	private static final Comparator<Map.Entry<String, PartEvidence>> MOST_SUSPECT = Comparator
		.comparingInt((Map.Entry<String, PartEvidence> entry) -> -entry.getValue().unexplained().size())
		.thenComparingLong((entry) -> -entry.getValue().lastChange());

	private final Clock clock;

	private final Map<String, PartEvidence> evidence = new HashMap<>();

	private volatile Set<String> remembered = Set.of();

	private volatile List<Suspicion> suspicions = List.of();

	private final Map<Set<String>, Long> nextTrial = new HashMap<>();

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
		long held = 0;
		for (Suspicion suspicion : this.suspicions) {
			if (prompt.shared().containsAll(suspicion.parts)) {
				held = Math.max(held, suspicion.until - this.clock.millis());
			}
		}
		return held;
	}

	/**
	 * Decides whether to send a request. After a hold has ended, few requests are sent
	 * until an answer or another crash decides.
	 * @param prompt parts of the prompt
	 * @return 0 to send the request, or the time in milliseconds for which to reject it
	 */
	public long admit(PromptParts prompt) {
		List<Suspicion> matching = this.suspicions.stream()
			.filter((suspicion) -> prompt.shared().containsAll(suspicion.parts))
			.toList();
		long held = matching.isEmpty() ? 0 : heldMillis(prompt);
		return (matching.isEmpty() || held > 0) ? held : admitTrial(matching);
	}

	private synchronized long admitTrial(List<Suspicion> matching) {
		long now = this.clock.millis();
		long wait = matching.stream()
			.mapToLong((suspicion) -> this.nextTrial.getOrDefault(suspicion.parts, now) - now)
			.max()
			.orElse(0);
		if (wait <= 0) {
			matching.forEach((suspicion) -> this.nextTrial.put(suspicion.parts, now + TRIAL_INTERVAL_MILLIS));
		}
		return Math.max(0, wait);
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
			evidence(part).addCrash(runnerHash, promptHash, now);
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
			if (this.evidence.containsKey(part)) {
				evidence(part).recordAnswer(now);
			}
		}
		update(now);
	}

	/**
	 * Returns what this daemon knows, for the other daemons. It includes what others have
	 * reported, so that the knowledge outlives restarts in turn.
	 * @return reports of the most suspect parts first
	 */
	public synchronized List<PartReport> report() {
		if (this.evidence.isEmpty()) {
			return List.of();
		}
		long now = this.clock.millis();
		update(now);
		List<PartReport> reports = new ArrayList<>();
		int crashes = 0;
		for (Map.Entry<String, PartEvidence> entry : this.evidence.entrySet().stream().sorted(MOST_SUSPECT).toList()) {
			if (entry.getValue().isOpen(now - REPORT_ANSWER_MILLIS)) {
				PartReport report = report(entry.getKey(), entry.getValue(), now);
				crashes += report.crashes().size();
				if (crashes > MAX_REPORTED) {
					return reports;
				}
				reports.add(report);
			}
		}
		return reports;
	}

	// Names one prompt of each crash, which suffices to tell repetitions apart.
	private static PartReport report(String part, PartEvidence evidence, long now) {
		List<PartReport.Crash> crashes = evidence.crashes()
			.entrySet()
			.stream()
			.sorted(Comparator.comparingLong((entry) -> -entry.getValue().at()))
			.limit(MAX_REPORTED_OF_PART)
			.map((entry) -> new PartReport.Crash(entry.getKey(), Collections.min(entry.getValue().prompts()),
					now - entry.getValue().at()))
			.toList();
		return new PartReport(part, crashes,
				evidence.isAnswered() ? OptionalLong.of(now - evidence.answeredAt()) : OptionalLong.empty());
	}

	/**
	 * Applies what another daemon knows.
	 * @param reports reports of that daemon; those beyond the largest number are ignored
	 */
	public synchronized void applyReports(List<PartReport> reports) {
		long now = this.clock.millis();
		boolean changed = false;
		for (PartReport report : reports.subList(0, Math.min(MAX_REPORTED, reports.size()))) {
			PartEvidence known = evidence(report.part());
			for (PartReport.Crash crash : report.crashes()) {
				changed |= crash.ageMillis() < MAX_REPORTED_AGE_MILLIS
						&& known.addCrash(crash.runner(), crash.prompt(), now - crash.ageMillis());
			}
			OptionalLong answered = report.answeredAgeMillis();
			changed |= answered.isPresent() && known.recordReportedAnswer(now - answered.getAsLong());
		}
		if (changed) {
			update(now);
		}
	}

	private PartEvidence evidence(String part) {
		PartEvidence known = this.evidence.get(part);
		if (known != null) {
			return known;
		}
		if (this.evidence.size() >= MAX_PARTS) {
			this.evidence.entrySet().stream().max(MOST_SUSPECT).map(Map.Entry::getKey).ifPresent(this.evidence::remove);
		}
		PartEvidence created = new PartEvidence();
		this.evidence.put(part, created);
		return created;
	}

	private void update(long now) {
		this.evidence.values().removeIf((known) -> known.forgetBefore(now - MEMORY_MILLIS));
		this.remembered = Set.copyOf(this.evidence.keySet());
		List<Suspicion> before = this.suspicions;
		this.suspicions = decide();
		logChanges(before, this.suspicions, now);
	}

	// Parts that fit more crashes come first. Crashes that a confirmed part explains do
	// not count against the parts that accompanied it.
	private List<Suspicion> decide() {
		Map<Set<Long>, Set<String>> partsByCrashes = new HashMap<>();
		this.evidence.forEach((part, known) -> {
			Set<Long> crashes = known.unexplained();
			if (known.independentCrashes(crashes) >= SUSPECTED) {
				partsByCrashes.computeIfAbsent(crashes, (key) -> new HashSet<>()).add(part);
			}
		});
		List<Set<Long>> order = partsByCrashes.keySet()
			.stream()
			.sorted(Comparator.comparingInt((crashes) -> -crashes.size()))
			.toList();
		List<Suspicion> result = new ArrayList<>();
		Set<Long> explained = new HashSet<>();
		for (Set<Long> crashes : order) {
			Set<String> parts = partsByCrashes.get(crashes);
			Set<Long> open = crashes.stream().filter((crash) -> !explained.contains(crash)).collect(Collectors.toSet());
			PartEvidence known = Objects.requireNonNull(this.evidence.get(parts.iterator().next()));
			int count = known.independentCrashes(open);
			if (count >= SUSPECTED) {
				long millis = (count >= CONFIRMED) ? CONFIRMED_MILLIS : SUSPECTED_MILLIS;
				result.add(new Suspicion(parts, known.lastCrash(open) + millis));
			}
			if (count >= CONFIRMED) {
				explained.addAll(crashes);
			}
		}
		this.nextTrial.keySet().retainAll(result.stream().map(Suspicion::parts).collect(Collectors.toSet()));
		return List.copyOf(result);
	}

	private static void logChanges(List<Suspicion> before, List<Suspicion> after, long now) {
		after.stream()
			.filter((suspicion) -> !before.contains(suspicion))
			.forEach((suspicion) -> LogEvent.of("prompt-parts-held")
				.with("parts", suspicion.parts)
				.with("millis", suspicion.until - now)
				.log(LOGGER, System.Logger.Level.WARNING));
		before.stream()
			.filter((suspicion) -> after.stream().noneMatch((other) -> other.parts.equals(suspicion.parts)))
			.forEach((suspicion) -> LogEvent.of("prompt-parts-cleared")
				.with("parts", suspicion.parts)
				.log(LOGGER, System.Logger.Level.INFO));
	}

	/**
	 * Parts that fit the same crashes equally. Only requests with all of them are held,
	 * since one with a single of these parts shows by its answer or crash which of them
	 * is the cause.
	 *
	 * @param parts identifiers of the parts
	 * @param until time in milliseconds at which the hold ends
	 */
	private record Suspicion(Set<String> parts, long until) {

		private Suspicion {
			parts = Set.copyOf(parts);
		}

	}

}
