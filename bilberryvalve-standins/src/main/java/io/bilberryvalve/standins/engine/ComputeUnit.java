package io.bilberryvalve.standins.engine;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The accelerator of an engine. Steps of all streams share its rate; they take time but
 * no processor.
 */
final class ComputeUnit {

	private static final int MAX_PRIORITY = 8;

	/** Longest time for which a prefill has the device before others get a turn. */
	private static final double CHUNK_SECONDS = 0.005;

	private final FairShareQueue queue = new FairShareQueue();

	private final Speed speed;

	private final ScheduledExecutorService scheduler;

	private final AtomicLong wakeAt = new AtomicLong(Long.MAX_VALUE);

	private final AtomicLong queuedTokens = new AtomicLong();

	private final AtomicLong doneTokens = new AtomicLong();

	ComputeUnit(Speed speed, ScheduledExecutorService scheduler) {
		this.speed = speed;
		this.scheduler = scheduler;
	}

	/**
	 * Executes layers for token positions.
	 * @param tokens number of token positions
	 * @param layers number of layers
	 * @param prefill whether the positions belong to the prompt or the delivered tokens
	 * @param priority priority; each step doubles the weight
	 * @return completed when the layers have been executed
	 */
	CompletableFuture<Void> execute(int tokens, int layers, boolean prefill, int priority) {
		double rate = prefill ? this.speed.prefillRate() : this.speed.decodeRate();
		double weight = Math.scalb(1.0, Math.max(-MAX_PRIORITY, Math.min(MAX_PRIORITY, priority)));
		CompletableFuture<Void> done = new CompletableFuture<>();
		this.queuedTokens.addAndGet(tokens);
		Runnable complete = () -> {
			this.queuedTokens.addAndGet(-tokens);
			this.doneTokens.addAndGet(tokens);
			done.complete(null);
		};
		double seconds = (double) tokens * layers / rate;
		// A decode step is never split, or the steps of all streams would end at the same
		// time and the next stage would idle until then.
		double chunk = Math.max(CHUNK_SECONDS, layers / this.speed.decodeRate());
		run(this.queue.add(seconds, chunk, weight, complete, System.nanoTime()));
		return done;
	}

	/**
	 * Returns the token positions of the steps that are not complete.
	 * @return the number of token positions
	 */
	long queuedTokens() {
		return this.queuedTokens.get();
	}

	/**
	 * Returns the token positions executed since the start.
	 * @return the number of token positions
	 */
	long doneTokens() {
		return this.doneTokens.get();
	}

	private void run(List<Runnable> complete) {
		complete.forEach(Runnable::run);
		schedule();
	}

	private void schedule() {
		long next = this.queue.nextNanos();
		long planned = this.wakeAt.getAndAccumulate(next, Math::min);
		if (next < planned) {
			this.scheduler.schedule(() -> wake(next), Math.max(0, next - System.nanoTime()), TimeUnit.NANOSECONDS);
		}
	}

	private void wake(long at) {
		// A timer that an earlier one has replaced must not plan another, or their number
		// grows.
		this.wakeAt.compareAndSet(at, Long.MAX_VALUE);
		run(this.queue.advance(System.nanoTime()));
	}

}
