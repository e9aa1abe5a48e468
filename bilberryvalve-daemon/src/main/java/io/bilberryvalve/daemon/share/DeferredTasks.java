package io.bilberryvalve.daemon.share;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.log.LogEvent;

/**
 * Queue of tasks that {@link FairAdmission} creates under its lock and runs after it has
 * released the lock. Tasks run one at a time, in the order in which they were added. A
 * task may itself add tasks and run the queue: the call returns at once, and the loop
 * that is already active runs the new tasks. Nested calls would exhaust the stack when
 * many requests end at the same time.
 *
 * <p>
 * Safe for use by several threads.
 */
final class DeferredTasks {

	private static final Logger LOGGER = System.getLogger(DeferredTasks.class.getName());

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	/**
	 * Number of calls of {@link #runPending()} that the active loop has not yet served.
	 */
	private final AtomicInteger pendingRuns = new AtomicInteger();

	/**
	 * Adds a task without running it.
	 * @param task the task; its exceptions are logged
	 */
	void add(Runnable task) {
		this.tasks.add(task);
	}

	/**
	 * Runs all tasks that have been added. Returns at once if another call, on any
	 * thread, is running tasks; that call then runs these tasks as well.
	 */
	void runPending() {
		if (this.pendingRuns.getAndIncrement() > 0) {
			return;
		}
		int served = 1;
		while (served > 0) {
			for (Runnable task = this.tasks.poll(); task != null; task = this.tasks.poll()) {
				runOne(task);
			}
			served = this.pendingRuns.addAndGet(-served);
		}
	}

	private static void runOne(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			LogEvent.of("admission-task-failed").with("reason", ex).log(LOGGER, Level.ERROR);
		}
	}

}
