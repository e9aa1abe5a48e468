package io.bilberryvalve.daemon.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.memory.Fault;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.policy.once.DispatchResult;
import io.bilberryvalve.policy.once.ExecutionAnswer;
import io.bilberryvalve.policy.once.ExecutionLimits;

/**
 * Simulates entries that make calls with the same table service and upstream. Tests
 * inject faults and advance the clock.
 */
final class CallSimulation {

	static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final ManualClock clock = new ManualClock();

	private final InMemoryTableService tables = new InMemoryTableService();

	private final ExecutionLimits limits;

	private final List<SimulatedEntry> entries = new ArrayList<>();

	private final List<Dispatched> dispatched = new ArrayList<>();

	private final CallHistory history = new CallHistory();

	private long calls;

	private int incarnations;

	CallSimulation(int entries, ExecutionLimits limits) {
		this.limits = limits;
		for (int i = 0; i < entries; i++) {
			this.entries.add(start());
		}
	}

	private SimulatedEntry start() {
		return new SimulatedEntry("e" + this.incarnations++, this.tables, this.clock, this.limits);
	}

	CallHistory history() {
		return this.history;
	}

	InMemoryTableService tables() {
		return this.tables;
	}

	ManualClock clock() {
		return this.clock;
	}

	List<ExecutionAnswer> answers = new ArrayList<>();

	long call(int entry, String key, String body) {
		long call = this.calls++;
		this.history.recordSent(call, key, body);
		this.entries.get(entry)
			.call(key, body, TIMEOUT, (upstream) -> this.dispatched.add(new Dispatched(call, upstream)), (answer) -> {
				this.answers.add(answer);
				this.history.recordAnswer(call, answer);
			});
		return call;
	}

	int unsettled(int entry) {
		return this.entries.get(entry).unsettled();
	}

	int dispatchedCalls() {
		return this.dispatched.size();
	}

	/** Executes and answers the oldest dispatched call. */
	void reply() {
		Dispatched next = this.dispatched.remove(0);
		this.history.recordExecution(next.call());
		next.upstream().complete(new DispatchResult.Replied(CallHistory.result(next.call())));
	}

	/** Executes the oldest dispatched call, but loses its response. */
	void executeAndLose() {
		Dispatched next = this.dispatched.remove(0);
		this.history.recordExecution(next.call());
		next.upstream().complete(new DispatchResult.Lost());
	}

	/** Reports the oldest dispatched call as lost to its entry, then executes it. */
	void loseThenExecute() {
		Dispatched next = this.dispatched.remove(0);
		next.upstream().complete(new DispatchResult.Lost());
		this.history.recordExecution(next.call());
	}

	/** Reports to the entry that no runner accepted a connection for the oldest call. */
	void refuse() {
		this.dispatched.remove(0).upstream().complete(new DispatchResult.NotSent());
	}

	void kill(int entry) {
		this.entries.get(entry).process().kill();
		this.entries.set(entry, start());
	}

	void pause(int entry) {
		this.entries.get(entry).process().pause();
	}

	void resume(int entry) {
		this.entries.get(entry).process().resume();
	}

	void advance(Duration duration) {
		this.clock.advance(duration);
		this.entries.forEach(SimulatedEntry::runDue);
	}

	/** Ends all faults and advances the clock until the calls in progress have ended. */
	void settle() {
		this.tables.writeFaults().clear();
		this.tables.readFaults().clear();
		this.entries.forEach((entry) -> entry.process().resume());
		for (int i = 0; i < 100; i++) {
			this.tables.writeFaults().release();
			this.tables.readFaults().release();
			this.tables.writeFaults().deliverLate();
			while (dispatchedCalls() > 0) {
				reply();
			}
			advance(Duration.ofMillis(100));
		}
	}

	void writeFaults(Fault... faults) {
		this.tables.writeFaults().enqueue(faults);
	}

	void readFaults(Fault... faults) {
		this.tables.readFaults().enqueue(faults);
	}

	private record Dispatched(long call, CompletableFuture<DispatchResult> upstream) {

	}

}
