package io.bilberryvalve.model.task;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.model.log.LogEvent;

/**
 * Runs a task and logs what it throws. Schedulers cancel a periodic task without a log
 * line once it throws, so periodic tasks are started with {@link #repeat}. The first
 * failure is logged, and after that each one at which the number of failures has doubled.
 * Safe for use by several threads if the task is.
 */
public final class GuardedTask implements Runnable {

	private static final System.Logger LOGGER = System.getLogger(GuardedTask.class.getName());

	private final String name;

	private final Runnable task;

	private final AtomicLong failures = new AtomicLong();

	/**
	 * Wraps a task.
	 * @param name name of the task in log events
	 * @param task the task; errors such as a stack overflow are caught, too
	 */
	public GuardedTask(String name, Runnable task) {
		this.name = name;
		this.task = task;
	}

	/**
	 * Schedules a task that runs again and again, also after it has thrown.
	 * @param scheduler runs the task; its owner ends the repetition by shutting it down
	 * @param name name of the task in log events
	 * @param task the task; the scheduler never runs it twice at once
	 * @param interval time until the first run, and from the end of a run to the next
	 */
	public static void repeat(ScheduledExecutorService scheduler, String name, Runnable task, Duration interval) {
		scheduler.scheduleWithFixedDelay(new GuardedTask(name, task), interval.toMillis(), interval.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	@Override
	public void run() {
		try {
			this.task.run();
		}
		catch (Throwable ex) {
			logFailure(ex);
		}
	}

	private void logFailure(Throwable cause) {
		long count = this.failures.incrementAndGet();
		if (Long.bitCount(count) == 1) {
			StackTraceElement[] frames = cause.getStackTrace();
			LogEvent.of("task-failed")
				.with("task", this.name)
				.with("failures", count)
				.with("cause", cause)
				.with("at", (frames.length > 0) ? frames[0] : null)
				.log(LOGGER, System.Logger.Level.ERROR);
		}
	}

}
