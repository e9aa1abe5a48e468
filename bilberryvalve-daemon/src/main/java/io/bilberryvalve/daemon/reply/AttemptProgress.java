package io.bilberryvalve.daemon.reply;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Times of the last signs of progress of an attempt. Used by the tasks of the reply's
 * mailbox only.
 */
final class AttemptProgress {

	private final Clock clock;

	private final ReplySettings settings;

	private Instant lastActivityAt;

	private Instant lastTokenAt;

	private boolean firstTokenSeen;

	AttemptProgress(Clock clock, ReplySettings settings) {
		this.clock = clock;
		this.settings = settings;
		this.lastActivityAt = clock.instant();
		this.lastTokenAt = this.lastActivityAt;
	}

	/**
	 * A new attempt starts.
	 */
	void startAttempt() {
		this.firstTokenSeen = false;
		resetTimers();
	}

	/**
	 * Reading starts again after it was stopped for a slow caller.
	 */
	void resetTimers() {
		this.lastActivityAt = this.clock.instant();
		this.lastTokenAt = this.lastActivityAt;
	}

	void recordActivity() {
		this.lastActivityAt = this.clock.instant();
	}

	void recordToken() {
		this.firstTokenSeen = true;
		resetTimers();
	}

	boolean isSilent() {
		return older(this.lastActivityAt, this.settings.progressTimeout());
	}

	/**
	 * Tells whether the stages should be probed now.
	 * @return whether no token arrived in time; true once for each period
	 */
	boolean tryStartProbe() {
		boolean due = older(this.lastTokenAt,
				this.firstTokenSeen ? this.settings.tokenStall() : this.settings.firstTokenStall());
		if (due) {
			this.lastTokenAt = this.clock.instant();
		}
		return due;
	}

	private boolean older(Instant time, Duration limit) {
		return time.plus(limit).isBefore(this.clock.instant());
	}

}
