package io.bilberryvalve.daemon.reply;

import java.time.Duration;

import io.bilberryvalve.config.DaemonLimits;

/**
 * Limits on the time and the memory that replies use.
 *
 * @param progressTimeout maximum time without a token or a keep-alive from the engine
 * @param firstTokenStall time without the first token of an attempt after which the
 * stages of the chain are probed, even if keep-alives arrive; it covers queues and
 * prefill
 * @param tokenStall time without a further token after which the stages are probed, once
 * the attempt has produced a token
 * @param defaultTimeout time limit for a reply whose caller sets none
 * @param maxTimeout maximum time limit; a caller that asks for more gets this one
 * @param windowTokens number of tokens that may wait for a slow caller; then reading from
 * the engine pauses
 * @param retention time for which an ended reply can be resumed
 * @param maxRetainedCharacters maximum number of characters of all ended replies that can
 * be resumed, prompts included
 * @param readerTimeout time after which a reply without a reader is ended
 * @param maxRepairs maximum number of repairs of one reply
 */
public record ReplySettings(Duration progressTimeout, Duration firstTokenStall, Duration tokenStall,
		Duration defaultTimeout, Duration maxTimeout, int windowTokens, Duration retention, long maxRetainedCharacters,
		Duration readerTimeout, int maxRepairs) {

	/**
	 * Returns the limits of replies for the configured limits of a daemon.
	 * @param limits limits of the daemon
	 * @return limits of replies; those that the daemon does not configure have their
	 * defaults
	 */
	public static ReplySettings of(DaemonLimits limits) {
		Duration longest = Duration.ofMinutes(30);
		if (longest.compareTo(limits.requestTimeout()) < 0) {
			longest = limits.requestTimeout();
		}
		return new ReplySettings(limits.progressDeadline(), Duration.ofSeconds(2), Duration.ofMillis(400),
				limits.requestTimeout(), longest, 64, limits.replyRetention(), 8_000_000, Duration.ofSeconds(2), 8);
	}

	/**
	 * Returns the default limits.
	 * @return limits of a daemon with default settings
	 */
	public static ReplySettings defaults() {
		return of(DaemonLimits.defaults());
	}

}
