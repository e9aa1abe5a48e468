package io.bilberryvalve.policy.queue;

import io.bilberryvalve.policy.path.RequestSize;

/**
 * Estimates the cost of a request, by which teams share the slots of a service. The unit
 * is the work for one prompt token.
 */
public final class RequestCost {

	/**
	 * Cost of one token of the answer. A prompt is read in batches, while each token of
	 * the answer passes all layers alone.
	 */
	private static final long ANSWER_TOKEN_COST = 10;

	private RequestCost() {
	}

	/**
	 * Returns the cost of a request.
	 * @param size expected number of tokens, zero for application runners
	 * @return cost, at least 1, which is that of a request to an application runner
	 */
	public static long of(RequestSize size) {
		return Math.max(1, size.promptTokens() + ANSWER_TOKEN_COST * size.answerTokens());
	}

}
