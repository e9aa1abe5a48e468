package io.bilberryvalve.config;

import java.time.Duration;

/**
 * Limits of a daemon.
 *
 * @param bodyBytes largest request body of a caller in bytes
 * @param submissionBytes largest request body of a configuration submission in bytes
 * @param headerBytes longest field of a request header in bytes
 * @param teamQueue waiting requests of one team
 * @param totalQueue waiting requests of all teams
 * @param idleConnection time after which a connection without traffic is closed
 * @param requestTimeout deadline of a request that states none
 * @param storeTimeout time limit of one call to a platform store
 * @param orderTimeout time limit of one order to an engine
 * @param progressDeadline time within which a stream must send a token or a keep-alive
 * @param replyRetention how long a finished reply can be resumed
 */
public record DaemonLimits(int bodyBytes, int submissionBytes, int headerBytes, int teamQueue, int totalQueue,
		Duration idleConnection, Duration requestTimeout, Duration storeTimeout, Duration orderTimeout,
		Duration progressDeadline, Duration replyRetention) {

	private static final int DEFAULT_BODY_BYTES = 1 << 20;

	/**
	 * A federation part with 10,000 runners has 2 MB, and its quotation marks are escaped
	 * in a submission.
	 */
	private static final int DEFAULT_SUBMISSION_BYTES = 16 << 20;

	private static final int DEFAULT_HEADER_BYTES = 16 << 10;

	private static final int DEFAULT_TEAM_QUEUE = 256;

	private static final int DEFAULT_TOTAL_QUEUE = 4096;

	/** Four missed keep-alives of 250 ms each. */
	private static final Duration DEFAULT_PROGRESS_DEADLINE = Duration.ofSeconds(1);

	/** The longest replies take longer than a minute on slow accelerators. */
	private static final Duration DEFAULT_REQUEST_TIMEOUT = Duration.ofMinutes(2);

	/**
	 * Checks the limits.
	 * @throws IllegalArgumentException if a limit is not positive or the queue of one
	 * team exceeds the queue of all teams
	 */
	public DaemonLimits {
		if (bodyBytes < 1 || submissionBytes < 1 || headerBytes < 1 || teamQueue < 1) {
			throw new IllegalArgumentException("a limit is not positive; use a value of at least 1");
		}
		if (teamQueue > totalQueue) {
			throw new IllegalArgumentException("teamQueue " + teamQueue + " exceeds totalQueue " + totalQueue
					+ "; raise totalQueue or lower teamQueue");
		}
		checkPositive(idleConnection);
		checkPositive(requestTimeout);
		checkPositive(storeTimeout);
		checkPositive(orderTimeout);
		checkPositive(progressDeadline);
		checkPositive(replyRetention);
	}

	private static void checkPositive(Duration duration) {
		if (duration.isNegative() || duration.isZero()) {
			throw new IllegalArgumentException("a time limit is not positive; use at least 1 ms");
		}
	}

	/**
	 * Returns the limits of a settings file that states none.
	 * @return the defaults
	 */
	public static DaemonLimits defaults() {
		return new DaemonLimits(DEFAULT_BODY_BYTES, DEFAULT_SUBMISSION_BYTES, DEFAULT_HEADER_BYTES, DEFAULT_TEAM_QUEUE,
				DEFAULT_TOTAL_QUEUE, Duration.ofSeconds(60), DEFAULT_REQUEST_TIMEOUT, Duration.ofSeconds(2),
				Duration.ofSeconds(10), DEFAULT_PROGRESS_DEADLINE, Duration.ofSeconds(60));
	}

}
