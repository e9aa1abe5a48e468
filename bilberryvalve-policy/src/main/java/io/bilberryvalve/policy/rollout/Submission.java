package io.bilberryvalve.policy.rollout;

import java.time.Clock;
import java.time.Instant;

import org.jspecify.annotations.Nullable;

/**
 * State machine of the submission of one part. Each method takes what happened and
 * returns what to do next. A write whose answer was lost is resolved by the identifier of
 * the submission; it is repeated with the same expected row version, so that it takes
 * effect at most once.
 */
public final class Submission {

	private final String id;

	private final long baseVersion;

	private final String part;

	private final String digest;

	private final Clock clock;

	private final Instant deadline;

	private long written;

	private boolean mayBeWritten;

	/**
	 * Creates a submission.
	 * @param id identifier chosen by the operator, unique to the submission
	 * @param baseVersion version that the operator has seen
	 * @param part name of the part
	 * @param digest digest of the new part
	 * @param clock monotonic clock
	 * @param deadline when the operator stops waiting
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
	 * Starts, or goes on after a pause.
	 * @return what to do next
	 */
	public SubmissionStep start() {
		return new SubmissionStep.ReadHead();
	}

	/**
	 * The head was read, or found in a conflict.
	 * @param rowVersion version of its row, 0 if the row is absent
	 * @param found the head, or {@code null} if the row is absent
	 * @return what to do next
	 */
	public SubmissionStep found(long rowVersion, @Nullable Head found) {
		Head head = (found != null) ? found : Head.empty();
		for (Head.Accepted accepted : head.recent()) {
			if (accepted.submission().equals(this.id)) {
				boolean same = accepted.part().equals(this.part) && accepted.digest().equals(this.digest);
				return same ? new SubmissionStep.Accepted(accepted.version())
						: new SubmissionStep.IdentifierReused(accepted.version());
			}
		}
		if (head.version() != this.baseVersion) {
			boolean forgotten = this.mayBeWritten && !head.remembersSince(this.baseVersion);
			return forgotten ? new SubmissionStep.Unknown()
					: new SubmissionStep.Conflict(head.version(), head.changedSince(this.baseVersion));
		}
		Head next = head.with(this.id, this.part, this.digest);
		this.written = next.version();
		return new SubmissionStep.Write(rowVersion, next);
	}

	/**
	 * The head could not be read.
	 * @return what to do next; a read must wait a little
	 */
	public SubmissionStep readFailed() {
		if (!this.mayBeWritten) {
			return new SubmissionStep.NotAccepted();
		}
		return this.clock.instant().isBefore(this.deadline) ? new SubmissionStep.ReadHead()
				: new SubmissionStep.Unknown();
	}

	/**
	 * The write took effect.
	 * @return what to do next
	 */
	public SubmissionStep committed() {
		return new SubmissionStep.Accepted(this.written);
	}

	/**
	 * The write was refused before any effect.
	 * @return what to do next; a read must wait a little
	 */
	public SubmissionStep refused() {
		return readFailed();
	}

	/**
	 * The answer to the write was lost.
	 * @return what to do next; a read must wait a little
	 */
	public SubmissionStep lost() {
		this.mayBeWritten = true;
		return readFailed();
	}

	/**
	 * The write was given up before it was sent, because the new part could not be
	 * checked or stored.
	 * @return what the operator is told about an earlier write
	 */
	public SubmissionStep abandoned() {
		return this.mayBeWritten ? new SubmissionStep.Unknown() : new SubmissionStep.NotAccepted();
	}

}
