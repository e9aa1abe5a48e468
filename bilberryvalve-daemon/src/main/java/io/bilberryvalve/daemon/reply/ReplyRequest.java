package io.bilberryvalve.daemon.reply;

import java.time.Instant;

import io.bilberryvalve.daemon.http.Principal;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.policy.chain.PlanKey;

/**
 * An accepted completion request.
 *
 * @param id the request
 * @param caller the caller
 * @param key model version and adapter
 * @param layers number of layers of the model
 * @param prompt the prompt
 * @param maxTokens largest reply in tokens
 * @param priority priority from -10 to 10
 * @param deadline when the reply must be complete
 */
record ReplyRequest(RequestId id, Principal.Caller caller, PlanKey key, int layers, String prompt, int maxTokens,
		int priority, Instant deadline) {

	private static final int CHARACTERS_PER_TOKEN = 4;

	/**
	 * Estimates the prompt's tokens from its length.
	 * @return number of tokens, at least 1
	 */
	int estimatedPromptTokens() {
		return (this.prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
	}

	/**
	 * Returns the same request with another deadline.
	 * @param time the deadline
	 * @return the request
	 */
	ReplyRequest withDeadline(Instant time) {
		return new ReplyRequest(this.id, this.caller, this.key, this.layers, this.prompt, this.maxTokens, this.priority,
				time);
	}

}
