package io.bilberryvalve.policy.rollout;

import java.time.Clock;
import java.time.Instant;

import org.jspecify.annotations.Nullable;

/**
 * State machine that submits a new version of one part of the configuration. Each method
 * handles an event and returns the next step. After a write whose answer was lost, the
 * submission looks for its identifier in the head; if it repeats the write, it expects
 * the same row version, so that the write takes effect at most once.
 */
public final class Submission {

	private final String id;

	private final long baseVersion;

	private final String part;

	private final String digest;

	private final Clock clock;

	private final Instant deadline;

	private long writtenVersion;

	private boolean mayBeWritten;

	/**
	 * Creates a submission.
	 * @param id identifier chosen by the operator, unique to the submission
	 * @param baseVersion configuration version on which the new part is based
	 * @param part name of the part
	 * @param digest digest of the new part
	 * @param clock monotonic clock
	 * @param deadline time at which the operator stops waiting
	 */
	public Submission(String id, long baseVersion, String part, String digest, Clock clock, Instant deadline) {
		this.id = id;
		this.baseVersion = baseVersion;
		this.part = part;
		this.digest = digest;
		this.clock = clock;
		this.deadline = deadline;
	}

	/**
	 * Starts the submission, or resumes it after a pause.
	 * @return the next step
	 */
	public SubmissionStep start() {
		return new SubmissionStep.ReadHead();
	}

	/**
	 * Handles a head that was read, or that conflicted with a write.
	 * @param rowVersion version of the row, 0 if the row does not exist
	 * @param found content of the row, or {@code null} if it does not exist
	 * @return the next step
	 */
	public SubmissionStep headRead(long rowVersion, @Nullable ConfigurationHead found) {
		ConfigurationHead head = (found != null) ? found : ConfigurationHead.empty();
		for (ConfigurationHead.AcceptedSubmission accepted : head.recent()) {
			if (accepted.submission().equals(this.id)) {
				boolean same = accepted.part().equals(this.part) && accepted.digest().equals(this.digest);
				return same ? new SubmissionStep.Accepted(accepted.version())
						: new SubmissionStep.IdentifierReused(accepted.version());
			}
		}
		if (head.version() != this.baseVersion) {
			boolean forgotten = this.mayBeWritten && !head.recentCovers(this.baseVersion);
			return forgotten ? new SubmissionStep.Unknown()
					: new SubmissionStep.Conflict(head.version(), head.changedSince(this.baseVersion));
		}
		ConfigurationHead next = head.withSubmission(this.id, this.part, this.digest);
		this.writtenVersion = next.version();
		return new SubmissionStep.Write(rowVersion, next);
	}

	/**
	 * Handles a failed read of the head.
	 * @return the next step; wait a little before a read
	 */
	public SubmissionStep headReadFailed() {
		if (!this.mayBeWritten) {
			return new SubmissionStep.NotAccepted();
		}
		return this.clock.instant().isBefore(this.deadline) ? new SubmissionStep.ReadHead()
				: new SubmissionStep.Unknown();
	}

	/**
	 * Handles a write that took effect.
	 * @return the next step
	 */
	public SubmissionStep writeCommitted() {
		return new SubmissionStep.Accepted(this.writtenVersion);
	}

	/**
	 * Handles a write that was refused before any effect.
	 * @return the next step; wait a little before a read
	 */
	public SubmissionStep writeRefused() {
		return headReadFailed();
	}

	/**
	 * Handles a write whose result is unknown because the answer was lost.
	 * @return the next step; wait a little before a read
	 */
	public SubmissionStep writeResultUnknown() {
		this.mayBeWritten = true;
		return headReadFailed();
	}

	/**
	 * Handles a write that was not sent because the new part could not be checked or
	 * stored.
	 * @return result for the operator, which depends on whether an earlier write may have
	 * taken effect
	 */
	public SubmissionStep writeAbandoned() {
		return this.mayBeWritten ? new SubmissionStep.Unknown() : new SubmissionStep.NotAccepted();
	}

}
