package io.bilberryvalve.daemon.reply;

import java.time.Duration;

import io.bilberryvalve.config.DaemonLimits;

/**
 * Limits of replies.
 *
 * @param progressTimeout time within which an engine must send a token or a keep-alive
 * @param firstTokenStall time without the first token of an attempt, despite keep-alives,
 * after which the stages of the chain are probed; it covers queues and prefill
 * @param tokenStall the same time once the attempt has produced a token
 * @param defaultTimeout time for a reply whose caller states no deadline
 * @param maxTimeout longest time that a caller may state
 * @param windowTokens tokens that may wait for a slow caller before reading from the
 * engine stops
 * @param retention time for which an ended reply can be resumed
 * @param maxRetainedCharacters characters of ended replies kept for resuming
 * @param readerTimeout time after which a reply without a reader is given up
 * @param maxRepairs largest number of repairs of one reply
 */
public record ReplySettings(Duration progressTimeout, Duration firstTokenStall, Duration tokenStall,
		Duration defaultTimeout, Duration maxTimeout, int windowTokens, Duration retention, long maxRetainedCharacters,
		Duration readerTimeout, int maxRepairs) {

	/**
	 * Returns limits that follow the settings of a daemon.
	 * @param limits limits of the daemon
	 * @return the limits
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
	 * @return the limits
	 */
	public static ReplySettings defaults() {
		return of(DaemonLimits.defaults());
	}

}
