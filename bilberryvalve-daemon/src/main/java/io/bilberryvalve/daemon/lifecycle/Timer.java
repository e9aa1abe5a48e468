package io.bilberryvalve.daemon.lifecycle;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks later.
 */
@FunctionalInterface
public interface Timer {

	/**
	 * Runs a task after a delay.
	 * @param delay the delay; a task that is overdue runs at once
	 * @param task the task; it must not block
	 */
	void schedule(Duration delay, Runnable task);

	/**
	 * Creates a timer that uses an executor. Tasks are dropped after its shutdown.
	 * @param executor the executor
	 * @return the timer
	 */
	static Timer of(ScheduledExecutorService executor) {
		return (delay, task) -> {
			if (!executor.isShutdown()) {
				executor.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
			}
		};
	}

}
