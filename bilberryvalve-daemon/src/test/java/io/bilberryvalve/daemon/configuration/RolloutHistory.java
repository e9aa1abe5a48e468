package io.bilberryvalve.daemon.configuration;

import java.util.HashMap;
import java.util.Map;

import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Result;
import org.jspecify.annotations.Nullable;

/**
 * Records the results of submissions and the versions that daemons activated, and checks
 * that these agree. The check is independent of the code under test.
 */
final class RolloutHistory {

	private final Map<String, Long> accepted = new HashMap<>();

	/** Number of attempts of each submission that were sent and not refused. */
	private final Map<String, Integer> openAttempts = new HashMap<>();

	private final Map<String, Long> activeVersions = new HashMap<>();

	private final Map<Long, String> digests = new HashMap<>();

	private @Nullable String violation;

	void recordSent(String submission) {
		this.openAttempts.merge(submission, 1, Integer::sum);
	}

	void recordResult(String submission, Result<Long> result) {
		if (result instanceof Result.Ok<Long> ok) {
			Long before = this.accepted.putIfAbsent(submission, ok.value());
			report(before != null && !before.equals(ok.value()), submission + " was accepted as two versions");
			boolean promisedTwice = this.accepted.entrySet()
				.stream()
				.anyMatch((entry) -> !entry.getKey().equals(submission) && entry.getValue().equals(ok.value()));
			report(promisedTwice, "version " + ok.value() + " was promised to two submissions");
		}
		else if (((Result.Failed<Long>) result).problem().outcome() == Outcome.NOT_RUN) {
			this.openAttempts.merge(submission, -1, Integer::sum);
		}
	}

	void recordActivation(String incarnation, long version, String digest) {
		Long before = this.activeVersions.put(incarnation, version);
		report(before != null && version < before, incarnation + " went back to version " + version);
		String known = this.digests.putIfAbsent(version, digest);
		report(known != null && !known.equals(digest), "version " + version + " has two contents");
	}

	void recordStored(String submission, long version) {
		Long promised = this.accepted.get(submission);
		report(promised != null && promised != version, submission + " was stored as another version");
		report(this.openAttempts.getOrDefault(submission, 0) <= 0, submission + " was denied and stored");
	}

	void checkFinalVersion(long storedVersion) {
		long promised = this.accepted.values().stream().mapToLong(Long::longValue).max().orElse(0);
		report(promised > storedVersion, "version " + promised + " was promised and lost");
	}

	private void report(boolean broken, String text) {
		if (broken && this.violation == null) {
			this.violation = text;
		}
	}

	@Nullable String violation() {
		return this.violation;
	}

}
