package io.bilberryvalve.daemon.call;

import java.time.Duration;

import io.bilberryvalve.platform.memory.Fault;
import io.bilberryvalve.policy.once.ExecutionAnswer;
import io.bilberryvalve.policy.once.ExecutionLimits;
import io.bilberryvalve.policy.once.RecordExpiry;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that faults of the table service, such as outages, lost responses and late
 * writes, neither lose the answer of a call nor lead to a second execution, and that few
 * writes are needed for each call.
 */
class ExecutionStoreTests {

	private static final ExecutionLimits LIMITS = ExecutionLimits.defaults();

	private static final Duration TICK = Duration.ofMillis(250);

	private final CallSimulation simulation = new CallSimulation(2, LIMITS);

	@Example
	void refusesNewKeysWithoutRunningThemWhileStoreIsDown() {
		this.simulation.tables().writeFaults().setDefault(Fault.OUTAGE);
		this.simulation.call(0, "k", "a");
		assertThat(this.simulation.answers)
			.containsExactly(new ExecutionAnswer.NotRun(ExecutionAnswer.Reason.STORE_UNAVAILABLE));
		this.simulation.settle();
		assertThat(this.simulation.dispatchedCalls()).isZero();
		assertThat(this.simulation.tables().size(ExecutionStore.TABLE)).isZero();
	}

	@Example
	void answersRepeatedCallFromMemoryWhileStoreIsDown() {
		long call = this.simulation.call(0, "k", "a");
		this.simulation.reply();
		this.simulation.tables().writeFaults().setDefault(Fault.OUTAGE);
		this.simulation.call(0, "k", "a");
		assertThat(this.simulation.answers).containsExactly(
				new ExecutionAnswer.Completed(CallHistory.result(call), false),
				new ExecutionAnswer.Completed(CallHistory.result(call), true));
	}

	@Example
	void resolvesAnswerLostTwiceInARow() {
		this.simulation.writeFaults(Fault.LOSE_ANSWER);
		this.simulation.readFaults(Fault.LOSE_ANSWER, Fault.LOSE_REQUEST);
		this.simulation.call(0, "k", "a");
		assertThat(this.simulation.dispatchedCalls()).isZero();
		this.simulation.advance(TICK);
		this.simulation.advance(TICK);
		assertThat(this.simulation.dispatchedCalls()).isOne();
	}

	@Example
	void repeatsInsertThatNeverArrivedAndSurvivesItsLateArrival() {
		this.simulation.writeFaults(Fault.LATE);
		this.simulation.call(0, "k", "a");
		this.simulation.tables().writeFaults().deliverLate();
		this.simulation.advance(TICK);
		assertThat(this.simulation.dispatchedCalls()).isOne();
		this.simulation.reply();
		assertThat(this.simulation.history().violation()).isNull();
	}

	@Example
	void conflictOfOneKeyDoesNotFailOthersInItsTransaction() {
		this.simulation.call(0, "taken", "a");
		this.simulation.reply();
		this.simulation.settle();
		this.simulation.answers.clear();
		this.simulation.call(1, "first", "a");
		this.simulation.call(1, "taken", "a");
		this.simulation.call(1, "free", "a");
		this.simulation.settle();
		assertThat(this.simulation.answers).hasSize(3).allMatch(ExecutionAnswer.Completed.class::isInstance);
	}

	@Example
	void answersRetryAtOtherEntryWithLateResult() {
		this.simulation.call(0, "k", "a");
		this.simulation.call(1, "k", "a");
		this.simulation.advance(TICK);
		assertThat(this.simulation.answers).containsExactly(new ExecutionAnswer.InProgress());
		this.simulation.reply();
		this.simulation.advance(TICK);
		this.simulation.call(1, "k", "a");
		this.simulation.advance(TICK);
		assertThat(this.simulation.answers.get(2)).isInstanceOf(ExecutionAnswer.Completed.class);
		assertThat(this.simulation.history().violation()).isNull();
	}

	@Example
	void countsResultsThatAreNotYetRecorded() {
		this.simulation.call(0, "k", "a");
		assertThat(this.simulation.unsettled(0)).isOne();
		this.simulation.tables().writeFaults().setDefault(Fault.OUTAGE);
		this.simulation.reply();
		this.simulation.advance(TICK);
		assertThat(this.simulation.unsettled(0)).isOne();
		this.simulation.settle();
		assertThat(this.simulation.unsettled(0)).isZero();
	}

	@Example
	void pausedOwnerKeepsItsReservation() {
		this.simulation.writeFaults(Fault.HOLD);
		this.simulation.call(0, "k", "a");
		this.simulation.pause(0);
		this.simulation.tables().writeFaults().release();
		this.simulation.call(1, "k", "a");
		this.simulation.advance(TICK);
		assertThat(this.simulation.answers).containsExactly(new ExecutionAnswer.InProgress());
		this.simulation.resume(0);
		assertThat(this.simulation.dispatchedCalls()).isOne();
	}

	@Example
	void writesPerCallFallWithBatchSize() {
		assertThat(writes(1, 100)).isEqualTo(200);
		assertThat(writes(10, 100)).isBetween(20L, 22L);
		assertThat(writes(100, 100)).isBetween(2L, 4L);
	}

	private static long writes(int batchSize, int calls) {
		CallSimulation simulation = new CallSimulation(1,
				LIMITS.withBatchSize(batchSize).withCommitInterval(Duration.ofMillis(5)));
		for (int i = 0; i < calls; i++) {
			simulation.call(0, "k" + i, "a");
		}
		for (int i = 0; i < 1000; i++) {
			simulation.advance(Duration.ofMillis(5));
			if (i % 10 == 0) {
				while (simulation.dispatchedCalls() > 0) {
					simulation.reply();
				}
			}
		}
		assertThat(simulation.answers).hasSize(calls).allMatch(ExecutionAnswer.Completed.class::isInstance);
		return simulation.tables().writeCount();
	}

	@Example
	void deletesRecordsAfterTheirLifetimeWithBoundedWrites() {
		for (int i = 0; i < 50; i++) {
			this.simulation.call(0, "k" + i, "a");
		}
		this.simulation.settle();
		ExecutionCleaner cleaner = new ExecutionCleaner(this.simulation.tables(),
				new RecordExpiry(LIMITS.recordLifetime()), this.simulation.clock());
		assertThat(cleaner.deleteExpired().toCompletableFuture().join()).isZero();
		assertThat(this.simulation.tables().size(ExecutionStore.TABLE)).isEqualTo(50);
		this.simulation.advance(Duration.ofHours(27));
		this.simulation.call(1, "k7", "a");
		this.simulation.settle();
		long writes = this.simulation.tables().writeCount();
		assertThat(cleaner.deleteExpired().toCompletableFuture().join()).isEqualTo(49);
		assertThat(this.simulation.tables().writeCount() - writes).isOne();
		assertThat(this.simulation.tables().size(ExecutionStore.TABLE)).isOne();
		assertThat(this.simulation.tables().size(ExecutionStore.INDEX_TABLE)).isOne();
	}

}
