package io.bilberryvalve.policy.once;

/**
 * Result of the dispatch of a call to an upstream.
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
	 * @param result encoded answer of the upstream
	 */
	record Replied(String result) implements DispatchResult {

	}

	/**
	 * At least a part of the request was sent, and no complete answer arrived.
	 */
	record Lost() implements DispatchResult {

	}

}
