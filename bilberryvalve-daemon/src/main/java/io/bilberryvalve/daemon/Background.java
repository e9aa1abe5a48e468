package io.bilberryvalve.daemon;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.daemon.lifecycle.Timer;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Runs the periodic work of a daemon. A task that fails is logged and runs again at its
 * next time.
 */
final class Background implements AutoCloseable {

	private static final System.Logger LOGGER = System.getLogger(Background.class.getName());

	private static final int THREADS = 2;

	private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS, Background::thread);

	/**
	 * Repeats a task.
	 * @param interval time between the end of a run and the start of the next
	 * @param name name of the task in logs
	 * @param task the task
	 * @return this object
	 */
	Background every(Duration interval, String name, Runnable task) {
		this.executor.scheduleWithFixedDelay(() -> run(name, task), 0, interval.toMillis(), TimeUnit.MILLISECONDS);
		return this;
	}

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
