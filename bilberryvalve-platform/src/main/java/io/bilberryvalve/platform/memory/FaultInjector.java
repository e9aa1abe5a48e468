package io.bilberryvalve.platform.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;

import io.bilberryvalve.platform.StoreFailure;

/**
 * Decides which requests to an in-memory service fail and how. Safe for use by several
 * threads.
 */
public final class FaultInjector {

	private final Deque<Fault> queued = new ArrayDeque<>();

	private final List<Runnable> late = new ArrayList<>();

	private final List<Runnable> held = new ArrayList<>();

	private Fault defaultFault = Fault.NONE;

	/**
	 * Adds faults for the next requests, one for each request in order. Requests after
	 * these have the fault that {@link #setDefault} sets.
	 * @param faults faults to add, after those added before
	 * @return this injector
	 */
	public synchronized FaultInjector enqueue(Fault... faults) {
		this.queued.addAll(List.of(faults));
		return this;
	}

	/**
	 * Sets the fault of each request for which {@link #enqueue} has added none.
	 * @param fault the fault; {@link Fault#NONE} lets the requests succeed
	 * @return this injector
	 */
	public synchronized FaultInjector setDefault(Fault fault) {
		this.defaultFault = fault;
		return this;
	}

	/**
	 * Removes the faults of future requests. Requests that were delayed or held stay so.
	 */
	public synchronized void clear() {
		this.queued.clear();
		this.defaultFault = Fault.NONE;
	}

	/**
	 * Lets the requests with the fault {@link Fault#LATE} take effect, in order.
	 * @return number of these requests
	 */
	public int deliverLate() {
		return run(this.late);
	}

	/**
	 * Runs the requests with the fault {@link Fault#HOLD} and completes their stages, in
	 * order.
	 * @return number of these requests
	 */
	public int release() {
		return run(this.held);
	}

	/**
	 * Returns the number of requests that wait for {@link #release()}.
	 * @return the number, at least 0
	 */
	public synchronized int heldCount() {
		return this.held.size();
	}

	<T> CompletionStage<T> apply(Supplier<T> effect, Function<StoreFailure, T> refused,
			Function<StoreFailure, T> unknown) {
		switch (nextFault()) {
			case RATE_LIMIT:
				return completed(refused.apply(StoreFailure.of(StoreFailure.Kind.RATE_LIMITED, "rate limit")));
			case OUTAGE:
				return completed(refused.apply(StoreFailure.of(StoreFailure.Kind.OUTAGE, "outage")));
			case LOSE_REQUEST:
				return completed(unknown.apply(StoreFailure.of(StoreFailure.Kind.TIMEOUT, "no answer")));
			case LOSE_ANSWER:
				effect.get();
				return completed(unknown.apply(StoreFailure.of(StoreFailure.Kind.ANSWER_LOST, "answer lost")));
			case LATE:
				defer(this.late, effect::get);
				return completed(unknown.apply(StoreFailure.of(StoreFailure.Kind.TIMEOUT, "no answer yet")));
			case HOLD:
				CompletableFuture<T> answer = new CompletableFuture<>();
				defer(this.held, () -> answer.complete(effect.get()));
				return answer;
			default:
				return completed(effect.get());
		}
	}

	private synchronized Fault nextFault() {
		Fault fault = this.queued.poll();
		return (fault != null) ? fault : this.defaultFault;
	}

	private synchronized void defer(List<Runnable> list, Runnable effect) {
		list.add(effect);
	}

	private int run(List<Runnable> list) {
		List<Runnable> batch;
		synchronized (this) {
			batch = List.copyOf(list);
			list.clear();
		}
		batch.forEach(Runnable::run);
		return batch.size();
	}

	private static <T> CompletionStage<T> completed(T value) {
		return CompletableFuture.completedFuture(value);
	}

}
