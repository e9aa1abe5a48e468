package io.bilberryvalve.daemon;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.daemon.lifecycle.Timer;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Schedules the periodic and delayed tasks of a daemon on daemon threads. If a periodic
 * task throws, the exception is logged and the task runs again after its interval.
 */
final class BackgroundScheduler implements AutoCloseable {

	private static final System.Logger LOGGER = System.getLogger(BackgroundScheduler.class.getName());

	private static final int THREADS = 2;

	private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS,
			BackgroundScheduler::thread);

	/**
	 * Schedules a task that runs immediately and then repeatedly.
	 * @param interval time between the end of a run and the start of the next
	 * @param name name of the task in log events
	 * @param task the task
	 * @return this object
	 */
	BackgroundScheduler scheduleRepeated(Duration interval, String name, Runnable task) {
		this.executor.scheduleWithFixedDelay(() -> run(name, task), 0, interval.toMillis(), TimeUnit.MILLISECONDS);
		return this;
	}

	/**
	 * Returns a timer whose tasks run on the threads of this scheduler. Exceptions of
	 * tasks are logged.
	 * @return the timer; it drops tasks after {@link #close()}
	 */
	Timer timer() {
		Timer timer = Timer.of(this.executor);
		return (delay, task) -> timer.schedule(delay, () -> run("timer", task));
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private static void run(String name, Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			LogEvent.of("background-task-failed")
				.with("task", name)
				.with("cause", ex)
				.log(LOGGER, System.Logger.Level.WARNING);
		}
	}

	private static Thread thread(Runnable task) {
		Thread thread = new Thread(task, "background");
		thread.setDaemon(true);
		return thread;
	}

}
