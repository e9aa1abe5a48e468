package io.bilberryvalve.gateway.peer;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RunnerLoad;
import org.jspecify.annotations.Nullable;

/**
 * What this daemon has sent in its latest states. A digest contains one of them, and what
 * it contains of this daemon is not taken for that of others. Confined to one thread.
 */
final class SentReports {

	/**
	 * Number of states that are kept. A state counts for 2.5 s at a delegate and its
	 * digest for 2.5 s more; 5 s of periodic states are 34, and urgent ones come at most
	 * every 50 ms.
	 */
	private static final int CAPACITY = 134;

	private final Map<Long, SentReport> reports = new LinkedHashMap<>();

	void add(long sequence, SentReport report) {
		this.reports.put(sequence, report);
		if (this.reports.size() > CAPACITY) {
			this.reports.remove(this.reports.keySet().iterator().next());
		}
	}

	/**
	 * Returns what was sent with a state.
	 * @param sequence number of the state
	 * @return what was sent, or {@code null} if it is no longer kept
	 */
	@Nullable SentReport get(long sequence) {
		return this.reports.get(sequence);
	}

	/**
	 * Part of a state that digests sum up.
	 *
	 * @param load requests of this daemon, by identifier of the runner or link
	 * @param lost runners that it found lost
	 * @param changing runners that it ordered to drop layers
	 */
	record SentReport(Map<RunnerId, RunnerLoad> load, Set<RunnerId> lost, Set<RunnerId> changing) {

		/** Report of a daemon that has sent nothing. */
		static final SentReport NONE = new SentReport(Map.of(), Set.of(), Set.of());

	}

}
