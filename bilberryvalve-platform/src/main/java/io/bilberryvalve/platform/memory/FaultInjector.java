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
 * Decides which requests to a service in memory fail and how. Methods may be called from
 * several threads.
 */
public final class FaultInjector {

	private final Deque<Fault> queued = new ArrayDeque<>();

	private final List<Runnable> late = new ArrayList<>();

	private final List<Runnable> held = new ArrayList<>();

	private Fault defaultFault = Fault.NONE;

	/**
	 * Sets the faults of the next requests, in order; later requests follow
	 * {@link #setDefault}.
	 * @param faults the faults
	 * @return these faults
	 */
	public synchronized FaultInjector enqueue(Fault... faults) {
		this.queued.addAll(List.of(faults));
		return this;
	}

	/**
	 * Sets the fault of each request for which {@link #queued} has set none.
	 * @param fault the fault
	 * @return these faults
	 */
	public synchronized FaultInjector setDefault(Fault fault) {
		this.defaultFault = fault;
		return this;
	}

	/**
	 * Ends all faults that are not yet used.
	 */
	public synchronized void clear() {
		this.queued.clear();
		this.defaultFault = Fault.NONE;
	}

	/**
	 * Lets late requests take effect, in order.
	 * @return how many there were
	 */
	public int deliverLate() {
		return run(this.late);
	}

	/**
	 * Runs the requests that were held, in order.
	 * @return how many there were
	 */
	public int release() {
		return run(this.held);
	}

	/**
	 * Returns the number of requests that wait for {@link #release()}.
	 * @return the number
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
