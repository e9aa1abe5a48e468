package io.bilberryvalve.daemon.reply;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Tracks when an attempt last showed any activity and when it last produced a token. Not
 * thread-safe; only tasks of the {@link SerialExecutor} of the reply use it.
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
	 * Starts to track a new attempt.
	 */
	void startAttempt() {
		this.firstTokenSeen = false;
		resetTimers();
	}

	/**
	 * Restarts both time limits, for example when reading resumes after a pause for a
	 * slow caller.
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
	 * Tells whether the stages should be probed now, and if so restarts the time limit.
	 * @return whether no token arrived in time; {@code true} at most once in each period
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
