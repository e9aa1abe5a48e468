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
class RecordedExecutionsTests {

	private static final int LENGTH = 1 << 20;

	private final ManualClock clock = new ManualClock();

	private long tokens;

	private long calls;

	@Example
	void boundsResultsInMemory() {
		RecordedExecutions ledger = ledger(OnceLimits.defaults());
		for (int i = 0; i < 20; i++) {
			run(ledger, "k" + i);
		}
		assertThat(ledger.resultLength()).isEqualTo(RecordedExecutions.RESULT_LENGTH);
		assertThat(ledger.size()).isEqualTo(8);
	}

	@Example
	void releasesResultsWhenTheyAreForgotten() {
		RecordedExecutions ledger = ledger(OnceLimits.defaults());
		run(ledger, "k");
		this.clock.advance(Duration.ofMinutes(10));
		ledger.on(new OnceEvent.Tick());
		assertThat(ledger.resultLength()).isZero();
		assertThat(ledger.size()).isZero();
	}

	@Example
	void refusesCallBeyondKeysInProgress() {
		RecordedExecutions ledger = ledger(OnceLimits.defaults().keys(2));
		call(ledger, "a");
		call(ledger, "b");
		assertThat(call(ledger, "c"))
			.contains(new OnceAction.Answer(2, new ExecutionAnswer.NotRun(ExecutionAnswer.Reason.OVERLOADED)));
	}

	private RecordedExecutions ledger(OnceLimits limits) {
		return new RecordedExecutions(this.clock, limits.spacing(Duration.ZERO), () -> "t" + this.tokens++);
	}

	private List<OnceAction> call(RecordedExecutions ledger, String key) {
		ExecutionKey execution = new ExecutionKey(new ClubId("pavio"), key);
		return ledger.on(new OnceEvent.Called(this.calls++, execution, "digest", this.clock.instant().plusSeconds(1)));
	}

	private void run(RecordedExecutions ledger, String key) {
		List<OnceAction> actions = new ArrayList<>(call(ledger, key));
		while (!actions.isEmpty()) {
			OnceAction action = actions.remove(0);
			if (action instanceof OnceAction.Commit commit) {
				actions.addAll(ledger.on(new OnceEvent.Committed(commit.batch(),
						commit.writes().stream().map((write) -> write.expectVersion() + 1).toList())));
			}
			else if (action instanceof OnceAction.Dispatch dispatch) {
				actions.addAll(
						ledger.on(new OnceEvent.Ended(dispatch.call(), new DispatchEnd.Replied("x".repeat(LENGTH)))));
			}
		}
	}

}
