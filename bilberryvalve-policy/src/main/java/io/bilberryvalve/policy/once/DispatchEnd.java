package io.bilberryvalve.policy.once;

/**
 * How the dispatch of a call to an upstream ended.
 */
public sealed interface DispatchEnd {

	/**
	 * No byte of the request was sent.
	 */
	record NotSent() implements DispatchEnd {

	}

	/**
	 * The upstream answered completely.
	 *
	 * @param result the answer
	 */
	record Replied(String result) implements DispatchEnd {

	}

	/**
	 * The request was sent, or part of it, and no complete answer arrived.
	 */
	record Lost() implements DispatchEnd {

	}

}
