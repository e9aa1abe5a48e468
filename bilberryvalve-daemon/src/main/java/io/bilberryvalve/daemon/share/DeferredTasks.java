package io.bilberryvalve.daemon.share;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.log.LogEvent;

/**
 * Runs tasks outside the lock, one after the other. A task that adds and runs further
 * tasks does not nest, so that requests which end at once do not exhaust the stack.
 */
final class DeferredTasks {

	private static final Logger LOGGER = System.getLogger(DeferredTasks.class.getName());

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	private final AtomicInteger runs = new AtomicInteger();

	void add(Runnable task) {
		this.tasks.add(task);
	}

	void runPending() {
		if (this.runs.getAndIncrement() > 0) {
			return;
		}
		int seen = 1;
		while (seen > 0) {
			for (Runnable task = this.tasks.poll(); task != null; task = this.tasks.poll()) {
				runOne(task);
			}
			seen = this.runs.addAndGet(-seen);
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
