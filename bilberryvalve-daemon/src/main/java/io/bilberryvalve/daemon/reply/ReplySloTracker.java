package io.bilberryvalve.daemon.reply;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.Set;

import io.bilberryvalve.daemon.report.Objective;
import io.bilberryvalve.daemon.report.ServiceLevelRecorder;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;

/**
 * Counts one reply towards the service-level objectives of its club. It must be added as
 * a listener to the log of the reply before the first token, and runs in the thread that
 * appends the tokens.
 */
final class ReplySloTracker implements Runnable {

	private static final Set<ProblemKind> SYSTEM_FAULTS = EnumSet.of(ProblemKind.NO_RUNNER, ProblemKind.RUNNER_FAILED,
			ProblemKind.STORE_UNAVAILABLE, ProblemKind.DEADLINE_EXCEEDED, ProblemKind.REPLY_LOST, ProblemKind.INTERNAL);

	private final ReplyLog log;

	private final ClubId club;

	private final ServiceLevelRecorder recorder;

	private final Clock clock;

	private Instant lastEventAt;

	private int nextIndex;

	private boolean ended;

	/**
	 * Creates a tracker; the time to the first token starts now.
	 * @param log log of the reply, still without tokens
	 * @param club club of the caller
	 * @param recorder counts the good and bad events of the club
	 * @param clock clock for the time between tokens
	 */
	ReplySloTracker(ReplyLog log, ClubId club, ServiceLevelRecorder recorder, Clock clock) {
		this.log = log;
		this.club = club;
		this.recorder = recorder;
		this.clock = clock;
		this.lastEventAt = clock.instant();
	}

	@Override
	public void run() {
		while (this.nextIndex < this.log.nextIndex()) {
			recordToken(this.nextIndex++);
		}
		if (this.log.ended() && !this.ended) {
			this.ended = true;
			Problem problem = this.log.problem();
			record(Objective.AVAILABILITY, problem == null || !SYSTEM_FAULTS.contains(problem.kind()));
		}
	}

	private void recordToken(int index) {
		Instant now = this.clock.instant();
		long millis = Duration.between(this.lastEventAt, now).toMillis();
		this.lastEventAt = now;
		if (index == 0) {
			record(Objective.FIRST_TOKEN, millis <= Objective.FIRST_TOKEN_BOUND_MILLIS);
		}
		else {
			record(Objective.TOKEN_GAP, millis <= Objective.TOKEN_GAP_BOUND_MILLIS);
		}
	}

	private void record(Objective objective, boolean good) {
		this.recorder.record(this.club, objective, good ? 1 : 0, good ? 0 : 1);
	}

}
