package io.bilberryvalve.policy.rollout;

import java.util.SortedSet;

/**
 * What to do next about a submission.
 */
public sealed interface SubmissionStep {

	/**
	 * Read the head and report it.
	 */
	record ReadHead() implements SubmissionStep {

	}

	/**
	 * Check the parts of the new head together, store the new part, then write the head
	 * by compare-and-set and report the result.
	 *
	 * @param expectVersion row version that the write must expect, 0 for absent
	 * @param head the new head
	 */
	record Write(long expectVersion, ConfigurationHead head) implements SubmissionStep {

	}

	/**
	 * The submission was accepted.
	 *
	 * @param version version that it created
	 */
	record Accepted(long version) implements SubmissionStep {

	}

	/**
	 * Another submission was accepted first; this one never will be.
	 *
	 * @param version the accepted version
	 * @param changed parts that changed since the base version
	 */
	record Conflict(long version, SortedSet<String> changed) implements SubmissionStep {

	}

	/**
	 * The identifier belongs to another submission.
	 *
	 * @param version version that the other submission created
	 */
	record IdentifierReused(long version) implements SubmissionStep {

	}

	/**
	 * The store is down; the submission was not accepted and never will be.
	 */
	record NotAccepted() implements SubmissionStep {

	}

	/**
	 * The submission may have been accepted, or may be later.
	 */
	record Unknown() implements SubmissionStep {

	}

}
