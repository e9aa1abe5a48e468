package io.bilberryvalve.policy.once;

/**
 * How the dispatch of a call to an upstream ended.
 */
public sealed interface DispatchResult {

	/**
	 * No byte of the request was sent.
	 */
	record NotSent() implements DispatchResult {

	}

	/**
	 * The upstream answered completely.
	 *
	 * @param result the answer
	 */
	record Replied(String result) implements DispatchResult {

	}

	/**
	 * The request was sent, or part of it, and no complete answer arrived.
	 */
	record Lost() implements DispatchResult {

	}

}
