package io.bilberryvalve.policy.once;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against results that use up the memory of a daemon, and against calls that wait
 * instead of being refused when too many keys are in progress.
 */
class RecordedExecutionTrackerTests {

	private static final int LENGTH = 1 << 20;

	private final ManualClock clock = new ManualClock();

	private long tokens;

	private long calls;

	@Example
	void boundsResultsInMemory() {
		RecordedExecutionTracker tracker = tracker(ExecutionLimits.defaults());
		for (int i = 0; i < 20; i++) {
			run(tracker, "k" + i);
		}
		assertThat(tracker.resultLength()).isEqualTo(RecordedExecutionTracker.MAX_RESULT_CHARS);
		assertThat(tracker.size()).isEqualTo(8);
	}

	@Example
	void releasesResultsAfterRetention() {
		RecordedExecutionTracker tracker = tracker(ExecutionLimits.defaults());
		run(tracker, "k");
		this.clock.advance(Duration.ofMinutes(10));
		tracker.handle(new ExecutionEvent.Tick());
		assertThat(tracker.resultLength()).isZero();
		assertThat(tracker.size()).isZero();
	}

	@Example
	void refusesCallBeyondKeysInProgress() {
		RecordedExecutionTracker tracker = tracker(ExecutionLimits.defaults().withMaxKeys(2));
		call(tracker, "a");
		call(tracker, "b");
		assertThat(call(tracker, "c"))
			.contains(new ExecutionAction.Answer(2, new ExecutionAnswer.NotRun(ExecutionAnswer.Reason.OVERLOADED)));
	}

	private RecordedExecutionTracker tracker(ExecutionLimits limits) {
		return new RecordedExecutionTracker(this.clock, limits.withCommitInterval(Duration.ZERO),
				() -> "t" + this.tokens++);
	}

	private List<ExecutionAction> call(RecordedExecutionTracker tracker, String key) {
		ExecutionKey execution = new ExecutionKey(new ClubId("pavio"), key);
		return tracker.handle(new ExecutionEvent.CallReceived(this.calls++, execution, "digest",
				this.clock.instant().plusSeconds(1)));
	}

	private void run(RecordedExecutionTracker tracker, String key) {
		List<ExecutionAction> actions = new ArrayList<>(call(tracker, key));
		while (!actions.isEmpty()) {
			ExecutionAction action = actions.remove(0);
			if (action instanceof ExecutionAction.Commit commit) {
				actions.addAll(tracker.handle(new ExecutionEvent.Committed(commit.batch(),
						commit.writes().stream().map((write) -> write.expectVersion() + 1).toList())));
			}
			else if (action instanceof ExecutionAction.Dispatch dispatch) {
				actions.addAll(tracker.handle(new ExecutionEvent.DispatchEnded(dispatch.call(),
						new DispatchResult.Replied("x".repeat(LENGTH)))));
			}
		}
	}

}
