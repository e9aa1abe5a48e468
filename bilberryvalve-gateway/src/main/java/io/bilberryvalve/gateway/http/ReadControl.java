package io.bilberryvalve.gateway.http;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.bilberryvalve.model.log.LogEvent;
import io.netty.channel.Channel;

/**
 * Decides whether to read from a connection to an upstream. Reading pauses while the
 * receiver of the response wants no more of it, and while the upstream has sent parts
 * faster than the permitted rate. The network then slows the upstream down, so that it
 * cannot occupy the event loop. Used on the event loop of the connection only.
 */
final class ReadControl {

	private static final System.Logger LOGGER = System.getLogger(ReadControl.class.getName());

	/**
	 * Rate of parts, which are heads, chunks and events of a stream. The fastest engines
	 * send about a thousand a second on a connection.
	 */
	private static final long PARTS_PER_SECOND = 5000;

	/** Number of parts that may arrive at once. */
	private static final long BURST_PARTS = 1000;

	private static final long MILLIS_PER_SECOND = 1000;

	private final Channel channel;

	private final LongSupplier clock;

	/** Parts that may arrive now, in thousandths; negative if too many have arrived. */
	private long credit = BURST_PARTS * MILLIS_PER_SECOND;

	private long creditedAt;

	private boolean paused;

	private boolean throttled;

	private boolean logged;

	/**
	 * Creates a control that permits reading.
	 * @param channel the connection
	 * @param clock returns the time in milliseconds, by a monotonic clock
	 */
	ReadControl(Channel channel, LongSupplier clock) {
		this.channel = channel;
		this.clock = clock;
		this.creditedAt = clock.getAsLong();
	}

	/**
	 * Pauses or resumes reading on behalf of the receiver.
	 * @param pause {@code true} to pause, {@code false} to resume
	 */
	void setPaused(boolean pause) {
		this.paused = pause;
		apply();
	}

	/** Counts a part of a response. */
	void countPart() {
		this.credit -= MILLIS_PER_SECOND;
	}

	/** Pauses reading for a while if too many parts have arrived. */
	void readCompleted() {
		addCredit();
		if (this.credit < 0 && !this.throttled) {
			this.throttled = true;
			apply();
			long millis = -this.credit / PARTS_PER_SECOND + 1;
			logOnce(millis);
			this.channel.eventLoop().schedule(this::endThrottling, millis, TimeUnit.MILLISECONDS);
		}
	}

	private void logOnce(long millis) {
		if (!this.logged) {
			this.logged = true;
			LogEvent.of("upstream-throttled")
				.with("upstream", this.channel.remoteAddress())
				.with("millis", millis)
				.log(LOGGER, System.Logger.Level.INFO);
		}
	}

	private void endThrottling() {
		this.throttled = false;
		apply();
	}

	private void addCredit() {
		long now = this.clock.getAsLong();
		this.credit = Math.min(BURST_PARTS * MILLIS_PER_SECOND,
				this.credit + (now - this.creditedAt) * PARTS_PER_SECOND);
		this.creditedAt = now;
	}

	/**
	 * Tells whether reading is paused because of too many parts.
	 * @return whether nothing is read for now, whatever the receiver wants
	 */
	boolean isThrottled() {
		return this.throttled;
	}

	private void apply() {
		this.channel.config().setAutoRead(!this.paused && !this.throttled);
	}

}
