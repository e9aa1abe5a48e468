package io.bilberryvalve.policy.path;

/**
 * Size of a request to an engine, in tokens.
 *
 * @param promptTokens number of tokens of the prompt
 * @param answerTokens expected number of tokens of the answer
 */
public record RequestSize(int promptTokens, int answerTokens) {

	/**
	 * Validates the size.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public RequestSize {
		if (promptTokens < 0 || answerTokens < 0) {
			throw new IllegalArgumentException("a request has no negative number of tokens");
		}
	}

	/**
	 * Returns the number of tokens that the request has in memory when its answer is
	 * complete.
	 * @return number of tokens, at most {@link Integer#MAX_VALUE}
	 */
	public int totalTokens() {
		return (int) Math.min(Integer.MAX_VALUE, (long) this.promptTokens + this.answerTokens);
	}

}
