package io.bilberryvalve.policy.queue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Predicate;

import io.bilberryvalve.model.clock.ManualClock;

/**
 * Replays callers against a {@link WaitQueue} in front of runners with a fixed amount of
 * memory, on a paused clock that is advanced by 1 ms.
 */
final class QueueReplay {

	/** Interval in milliseconds at which a gateway dispatches without other cause. */
	private static final int DISPATCH_INTERVAL = 50;

	private final ManualClock clock = new ManualClock();

	private final WaitQueue<Call> queue = new WaitQueue<>();

	private final RetryAfter retryAfter = new RetryAfter(new Random(1));

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));

	private final List<Call> calls = new ArrayList<>();

	private int free;

	private long sequence;

	QueueReplay(int memory) {
		this.free = memory;
	}

	/**
	 * Adds a caller.
	 * @param at time of its request in milliseconds
	 * @param kind its request
	 * @return the call
	 */
	Call add(long at, Kind kind) {
		Call call = new Call(kind, at);
		this.calls.add(call);
		schedule(at, () -> submit(call));
		return call;
	}

	// Adds callers at a constant rate.
	void addStream(long from, long until, double perSecond, Kind kind) {
		double interval = 1000 / perSecond;
		for (double at = from; at < until; at += interval) {
			add((long) at, kind);
		}
	}

	// Lets a caller disconnect, and not return.
	void leaveAt(long at, Call call) {
		schedule(at, () -> {
			call.left = true;
			this.queue.remove(call, now());
		});
	}

	void run(long until) {
		while (now() < until) {
			boolean due = now() % DISPATCH_INTERVAL == 0;
			while (!this.events.isEmpty() && this.events.peek().at() <= now()) {
				this.events.remove().action().run();
			}
			if (due) {
				dispatch();
			}
			this.clock.advance(Duration.ofMillis(1));
		}
	}

	private long now() {
		return this.clock.millis();
	}

	private void schedule(long at, Runnable action) {
		this.events.add(new Event(at, this.sequence++, action));
	}

	private void submit(Call call) {
		if (call.left) {
			return;
		}
		call.submittedAt = now();
		if (this.queue.size() == 0 && grant(call)) {
			return;
		}
		WaitQueue.WaitLimits limits = new WaitQueue.WaitLimits(now() + call.kind.onTimeMillis,
				now() + call.kind.limitMillis);
		RequestDemand demand = new RequestDemand(call.kind.priority, call.kind.team, call.kind.cost, limits);
		call.demand = demand;
		if (this.queue.offer(call, demand, now()).isPresent()) {
			submitRefused(call);
		}
		else {
			dispatch();
		}
	}

	// Uses free slots that fit none of those ahead, as a gateway does.
	private void submitRefused(Call call) {
		dispatch();
		if (!this.queue.isReservedBefore(call.demand) && grant(call)) {
			this.queue.charge(call.demand, now());
		}
		else {
			this.queue.offer(call, call.demand, now()).ifPresent((refusal) -> refuse(call, refusal));
		}
	}

	private void refuse(Call call, Refusal refusal) {
		call.refusals++;
		call.longestRefusedWait = Math.max(call.longestRefusedWait, now() - call.submittedAt);
		long advised = this.retryAfter.draw(refusal, false);
		if (call.refusals < call.kind.attempts) {
			schedule(now() + ((call.kind.retryMillis > 0) ? call.kind.retryMillis : advised), () -> submit(call));
		}
	}

	private void dispatch() {
		for (Call call : this.queue.expire(now())) {
			refuse(call, this.queue.refusal(call.demand, now()));
		}
		this.queue.dispatch(now(), 64, this::grant);
	}

	private boolean grant(Call call) {
		if (call.kind.memory > this.free) {
			return false;
		}
		this.free -= call.kind.memory;
		call.grantedAt = now();
		schedule(now() + call.kind.runMillis, () -> {
			this.free += call.kind.memory;
			dispatch();
		});
		return true;
	}

	List<Call> calls(Predicate<Call> which) {
		return this.calls.stream().filter(which).toList();
	}

	/**
	 * Requests of one kind.
	 *
	 * @param team name of the team
	 * @param priority class
	 * @param cost estimated cost
	 * @param memory memory that a request occupies while it runs
	 * @param runMillis time for which it runs
	 * @param onTimeMillis time after its arrival until which a slot is in time
	 * @param limitMillis wait limit
	 * @param attempts attempts before the caller gives up
	 * @param retryMillis delay between attempts, 0 to do as the queue advises
	 */
	record Kind(String team, int priority, long cost, int memory, long runMillis, long onTimeMillis, long limitMillis,
			int attempts, long retryMillis) {

		// A kind with a cost of 100, of which each slot serves ten per second.
		static Kind of(String team, int priority) {
			return new Kind(team, priority, 100, 1, 100, 400, 1000, 1, 0);
		}

		Kind withRetries(int count, long delay) {
			return new Kind(this.team, this.priority, this.cost, this.memory, this.runMillis, this.onTimeMillis,
					this.limitMillis, count, delay);
		}

		Kind withSize(long newCost, int newMemory, long newRunMillis) {
			return new Kind(this.team, this.priority, newCost, newMemory, newRunMillis, this.onTimeMillis,
					this.limitMillis, this.attempts, this.retryMillis);
		}

		Kind withLimits(long newOnTimeMillis, long newLimitMillis) {
			return new Kind(this.team, this.priority, this.cost, this.memory, this.runMillis, newOnTimeMillis,
					newLimitMillis, this.attempts, this.retryMillis);
		}

	}

	/** A caller, and what became of it. */
	static final class Call {

		private final Kind kind;

		private final long firstAt;

		private RequestDemand demand;

		private long submittedAt;

		private long grantedAt = -1;

		private long longestRefusedWait;

		private int refusals;

		private boolean left;

		Call(Kind kind, long firstAt) {
			this.kind = kind;
			this.firstAt = firstAt;
		}

		Kind kind() {
			return this.kind;
		}

		long firstAt() {
			return this.firstAt;
		}

		long grantedAt() {
			return this.grantedAt;
		}

		long longestRefusedWait() {
			return this.longestRefusedWait;
		}

		int refusals() {
			return this.refusals;
		}

		boolean isGranted() {
			return this.grantedAt >= 0;
		}

		boolean isOnTime() {
			return isGranted() && this.grantedAt - this.submittedAt < this.kind.onTimeMillis;
		}

		boolean isOf(String team) {
			return this.kind.team.equals(team);
		}

	}

	private record Event(long at, long sequence, Runnable action) {

	}

}
