package io.bilberryvalve.policy.rollout;

import java.util.SortedSet;

/**
 * Next step of a {@link Submission}: a request to the store, or the final result.
 */
public sealed interface SubmissionStep {

	/**
	 * Read the head and report the result.
	 */
	record ReadHead() implements SubmissionStep {

	}

	/**
	 * Validate the parts of the new head together, store the new part, then write the
	 * head by compare-and-set and report the result.
	 *
	 * @param expectVersion version that the row of the head must have, or 0 if it must
	 * not exist
	 * @param head new content of the row
	 */
	record Write(long expectVersion, ConfigurationHead head) implements SubmissionStep {

	}

	/**
	 * The submission was accepted.
	 *
	 * @param version configuration version that the submission created
	 */
	record Accepted(long version) implements SubmissionStep {

	}

	/**
	 * Another submission was accepted first; this one was not and never will be.
	 *
	 * @param version configuration version that is accepted now
	 * @param changed names of the parts that changed since the base version, as far as
	 * the head lists them
	 */
	record Conflict(long version, SortedSet<String> changed) implements SubmissionStep {

	}

	/**
	 * The identifier was already used by another submission.
	 *
	 * @param version configuration version that the other submission created
	 */
	record IdentifierReused(long version) implements SubmissionStep {

	}

	/**
	 * The store is unavailable; the submission was not accepted and never will be.
	 */
	record NotAccepted() implements SubmissionStep {

	}

	/**
	 * The outcome is unknown: the submission may have been accepted, or may be later.
	 */
	record Unknown() implements SubmissionStep {

	}

}
