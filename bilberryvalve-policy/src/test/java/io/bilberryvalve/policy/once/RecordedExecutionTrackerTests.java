package io.bilberryvalve.policy.once;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against memory that grows with results, and against a call that waits behind a
 * full memory.
 */
class RecordedExecutionTrackerTests {

	private static final int LENGTH = 1 << 20;

	private final ManualClock clock = new ManualClock();

	private long tokens;

	private long calls;

	@Example
	void boundsResultsInMemory() {
		RecordedExecutionTracker ledger = ledger(ExecutionLimits.defaults());
		for (int i = 0; i < 20; i++) {
			run(ledger, "k" + i);
		}
		assertThat(ledger.resultLength()).isEqualTo(RecordedExecutionTracker.MAX_RESULT_CHARS);
		assertThat(ledger.size()).isEqualTo(8);
	}

	@Example
	void releasesResultsWhenTheyAreForgotten() {
		RecordedExecutionTracker ledger = ledger(ExecutionLimits.defaults());
		run(ledger, "k");
		this.clock.advance(Duration.ofMinutes(10));
		ledger.handle(new ExecutionEvent.Tick());
		assertThat(ledger.resultLength()).isZero();
		assertThat(ledger.size()).isZero();
	}

	@Example
	void refusesCallBeyondKeysInProgress() {
		RecordedExecutionTracker ledger = ledger(ExecutionLimits.defaults().withMaxKeys(2));
		call(ledger, "a");
		call(ledger, "b");
		assertThat(call(ledger, "c"))
			.contains(new ExecutionAction.Answer(2, new ExecutionAnswer.NotRun(ExecutionAnswer.Reason.OVERLOADED)));
	}

	private RecordedExecutionTracker ledger(ExecutionLimits limits) {
		return new RecordedExecutionTracker(this.clock, limits.withCommitInterval(Duration.ZERO),
				() -> "t" + this.tokens++);
	}

	private List<ExecutionAction> call(RecordedExecutionTracker ledger, String key) {
		ExecutionKey execution = new ExecutionKey(new ClubId("pavio"), key);
		return ledger.handle(new ExecutionEvent.CallReceived(this.calls++, execution, "digest",
				this.clock.instant().plusSeconds(1)));
	}

	private void run(RecordedExecutionTracker ledger, String key) {
		List<ExecutionAction> actions = new ArrayList<>(call(ledger, key));
		while (!actions.isEmpty()) {
			ExecutionAction action = actions.remove(0);
			if (action instanceof ExecutionAction.Commit commit) {
				actions.addAll(ledger.handle(new ExecutionEvent.Committed(commit.batch(),
						commit.writes().stream().map((write) -> write.expectVersion() + 1).toList())));
			}
			else if (action instanceof ExecutionAction.Dispatch dispatch) {
				actions.addAll(ledger.handle(new ExecutionEvent.DispatchEnded(dispatch.call(),
						new DispatchResult.Replied("x".repeat(LENGTH)))));
			}
		}
	}

}
