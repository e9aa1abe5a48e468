package io.bilberryvalve.daemon.lifecycle;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Schedules tasks to run once after a delay. Tests replace it by a timer that they
 * advance themselves.
 */
@FunctionalInterface
public interface Timer {

	/**
	 * Runs a task after a delay.
	 * @param delay time to wait; a task with a negative delay runs immediately
	 * @param task task to run; it must not block
	 */
	void schedule(Duration delay, Runnable task);

	/**
	 * Creates a timer that runs its tasks on an executor. Tasks scheduled after the
	 * shutdown of the executor are dropped.
	 * @param executor executor for the tasks; its owner shuts it down
	 * @return a timer backed by the executor
	 */
	static Timer of(ScheduledExecutorService executor) {
		return (delay, task) -> {
			if (!executor.isShutdown()) {
				executor.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
			}
		};
	}

}
