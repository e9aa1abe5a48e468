package io.bilberryvalve.gateway.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Log handler that writes lines to standard output on a separate thread. Threads that log
 * never block: when the queue is full, lines are dropped, and their number is written
 * later.
 */
public final class AsyncLogHandler extends Handler {

	/** Number of lines that one daemon logs in about a second under full load. */
	private static final int QUEUE_CAPACITY = 4096;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);

	private final AtomicLong droppedLines = new AtomicLong();

	private final PrintStream out;

	private AsyncLogHandler(PrintStream out) {
		this.out = out;
	}

	/**
	 * Installs the handler for all log lines of the process. Must be called before any
	 * logger is created.
	 */
	public static void install() {
		System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
		Logger root = Logger.getLogger("");
		for (Handler handler : root.getHandlers()) {
			root.removeHandler(handler);
		}
		AsyncLogHandler log = new AsyncLogHandler(System.out);
		root.addHandler(log);
		Logger.getLogger("io.netty").setLevel(Level.WARNING);
		Thread writer = new Thread(log::writeLines, "log");
		writer.setDaemon(true);
		writer.start();
	}

	@Override
	public void publish(LogRecord line) {
		String text = "time=" + Instant.ofEpochMilli(line.getMillis()) + " level=" + line.getLevel() + ' '
				+ line.getMessage();
		if (line.getThrown() != null) {
			text += " cause=\"" + line.getThrown() + '"';
		}
		if (!this.lines.offer(text)) {
			this.droppedLines.incrementAndGet();
		}
	}

	private void writeLines() {
		try {
			while (true) {
				String line = this.lines.take();
				StringBuilder batch = new StringBuilder(line).append('\n');
				for (line = this.lines.poll(); line != null; line = this.lines.poll()) {
					batch.append(line).append('\n');
				}
				long lost = this.droppedLines.getAndSet(0);
				if (lost > 0) {
					batch.append("level=WARNING event=log-lines-dropped count=").append(lost).append('\n');
				}
				this.out.print(batch);
				this.out.flush();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void flush() {
		while (!this.lines.isEmpty()) {
			Thread.onSpinWait();
		}
	}

	@Override
	public void close() {
	}

	/**
	 * Log manager that keeps the handler during shutdown, so that the last lines are
	 * written.
	 */
	public static final class NonResettingLogManager extends LogManager {

		@Override
		public void reset() {
		}

	}

}
