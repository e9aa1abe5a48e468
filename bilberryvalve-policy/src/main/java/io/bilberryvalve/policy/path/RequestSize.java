package io.bilberryvalve.policy.path;

/**
 * Size of a request for an engine.
 *
 * @param prompt tokens of the prompt
 * @param answer expected tokens of the answer
 */
public record RequestSize(int prompt, int answer) {

	/**
	 * Checks the size.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public RequestSize {
		if (prompt < 0 || answer < 0) {
			throw new IllegalArgumentException("a request has no negative number of tokens");
		}
	}

	/**
	 * Returns the tokens that the request occupies at its end.
	 * @return number of tokens
	 */
	public int tokens() {
		return this.prompt + this.answer;
	}

}
