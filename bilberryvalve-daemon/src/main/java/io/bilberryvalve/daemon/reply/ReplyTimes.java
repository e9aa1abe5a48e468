package io.bilberryvalve.daemon.reply;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Times of the last signs of progress of an attempt. Used by the tasks of the reply's
 * mailbox only.
 */
final class ReplyTimes {

	private final Clock clock;

	private final ReplySettings settings;

	private Instant activity;

	private Instant token;

	private boolean started;

	ReplyTimes(Clock clock, ReplySettings settings) {
		this.clock = clock;
		this.settings = settings;
		this.activity = clock.instant();
		this.token = this.activity;
	}

	/**
	 * A new attempt starts.
	 */
	void begin() {
		this.started = false;
		restart();
	}

	/**
	 * Reading starts again after it was stopped for a slow caller.
	 */
	void restart() {
		this.activity = this.clock.instant();
		this.token = this.activity;
	}

	void alive() {
		this.activity = this.clock.instant();
	}

	void token() {
		this.started = true;
		restart();
	}

	boolean silent() {
		return older(this.activity, this.settings.progress());
	}

	/**
	 * Tells whether the stages should be probed now.
	 * @return whether no token arrived in time; true once for each period
	 */
	boolean takeProbe() {
		boolean due = older(this.token, this.started ? this.settings.stall() : this.settings.firstStall());
		if (due) {
			this.token = this.clock.instant();
		}
		return due;
	}

	private boolean older(Instant time, Duration limit) {
		return time.plus(limit).isBefore(this.clock.instant());
	}

}
