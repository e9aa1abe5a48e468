package io.bilberryvalve.platform.watch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Scheduler that queues its tasks and runs them only when {@link #runAll()} is called, in
 * the order of their submission and without their delays.
 */
final class ManualScheduler extends ScheduledThreadPoolExecutor {

	private final Deque<Runnable> tasks = new ArrayDeque<>();

	private final Deque<Delayed> delayed = new ArrayDeque<>();

	private final List<RuntimeException> failures = new ArrayList<>();

	ManualScheduler() {
		super(0);
	}

	@Override
	public void execute(Runnable task) {
		this.tasks.add(task);
	}

	@Override
	public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
		ScheduledFuture<?> future = super.schedule((Callable<Void>) () -> null, Long.MAX_VALUE / 2,
				TimeUnit.NANOSECONDS);
		this.delayed.add(new Delayed(task, future));
		return future;
	}

	void runAll() {
		runAvailable();
		shutdownNow();
	}

	/**
	 * Runs the queued tasks, and those that were scheduled and not cancelled.
	 */
	void runAvailable() {
		runUndelayed();
		for (Delayed next = this.delayed.poll(); next != null; next = this.delayed.poll()) {
			if (!next.future.isCancelled()) {
				this.tasks.add(next.task);
			}
			runUndelayed();
		}
	}

	/**
	 * Runs the queued tasks but not those that were scheduled for later. As on an event
	 * loop, a task that throws does not stop the others.
	 */
	void runUndelayed() {
		for (Runnable task = this.tasks.poll(); task != null; task = this.tasks.poll()) {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				this.failures.add(ex);
			}
		}
	}

	/**
	 * A task that was scheduled.
	 *
	 * @param task the task
	 * @param future tells whether it was cancelled
	 */
	private record Delayed(Runnable task, ScheduledFuture<?> future) {

	}

}
