package io.bilberryvalve.policy.path;

/**
 * Size of a request for an engine.
 *
 * @param promptTokens tokens of the prompt
 * @param answerTokens expected tokens of the answer
 */
public record RequestSize(int promptTokens, int answerTokens) {

	/**
	 * Checks the size.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public RequestSize {
		if (promptTokens < 0 || answerTokens < 0) {
			throw new IllegalArgumentException("a request has no negative number of tokens");
		}
	}

	/**
	 * Returns the tokens that the request occupies at its end.
	 * @return number of tokens
	 */
	public int totalTokens() {
		return this.promptTokens + this.answerTokens;
	}

}
