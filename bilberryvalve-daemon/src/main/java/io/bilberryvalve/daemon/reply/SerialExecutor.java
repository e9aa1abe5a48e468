package io.bilberryvalve.daemon.reply;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.log.LogEvent;

/**
 * Runs the tasks of one reply one after the other, in order and without locks. If a task
 * arrives while another one runs, the thread that runs the other one also runs the new
 * one afterwards.
 */
final class SerialExecutor {

	private static final Logger LOGGER = System.getLogger(SerialExecutor.class.getName());

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	private final AtomicInteger pending = new AtomicInteger();

	void execute(Runnable task) {
		this.tasks.add(task);
		if (this.pending.getAndIncrement() > 0) {
			return;
		}
		do {
			Runnable next = this.tasks.poll();
			if (next != null) {
				runOne(next);
			}
		}
		while (this.pending.decrementAndGet() > 0);
	}

	private static void runOne(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			// The following tasks must still run, otherwise the reply would never end.
			LogEvent.of("reply-task-failed").with("error", ex).log(LOGGER, Level.ERROR);
		}
	}

}
