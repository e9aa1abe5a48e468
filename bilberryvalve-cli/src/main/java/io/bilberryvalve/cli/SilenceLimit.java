package io.bilberryvalve.cli;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Closes a stream that brings nothing for a time. A connection can go silent without an
 * end, and the reader would wait for ever.
 */
final class SilenceLimit implements AutoCloseable {

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "silence-limit");
		thread.setDaemon(true);
		return thread;
	});

	private final InputStream stream;

	private final Duration limit;

	private Future<?> pending;

	/**
	 * Starts to watch a stream.
	 * @param stream the stream
	 * @param limit longest silence
	 */
	SilenceLimit(InputStream stream, Duration limit) {
		this.stream = stream;
		this.limit = limit;
		this.pending = schedule();
	}

	/**
	 * Notes that something was read.
	 */
	void heard() {
		this.pending.cancel(false);
		this.pending = schedule();
	}

	private Future<?> schedule() {
		return this.timer.schedule(this::closeStream, this.limit.toNanos(), TimeUnit.NANOSECONDS);
	}

	private void closeStream() {
		try {
			this.stream.close();
		}
		catch (IOException ex) {
			// The reader sees the failure as well and reports it.
			this.timer.shutdown();
		}
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

}
