package io.bilberryvalve.daemon.reply;

import java.time.Instant;

import io.bilberryvalve.daemon.http.Principal;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.policy.chain.PlanKey;

/**
 * A valid completion request together with its resolved pipeline.
 *
 * @param id id of the request
 * @param caller caller that sent the request
 * @param key model version and adapter
 * @param layers number of layers of the model
 * @param prompt prompt of the caller, not empty
 * @param maxTokens maximum length of the reply in tokens
 * @param priority priority from -10 (low) to 10 (high)
 * @param deadline time by which the reply must be complete
 */
record ReplyRequest(RequestId id, Principal.Caller caller, PlanKey key, int layers, String prompt, int maxTokens,
		int priority, Instant deadline) {

	private static final int CHARACTERS_PER_TOKEN = 4;

	/**
	 * Estimates the number of tokens of the prompt from its length in characters.
	 * @return number of tokens, at least 1
	 */
	int estimatedPromptTokens() {
		return (this.prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN;
	}

	/**
	 * Returns a copy of this request with another deadline.
	 * @param time the new deadline
	 * @return the copy
	 */
	ReplyRequest withDeadline(Instant time) {
		return new ReplyRequest(this.id, this.caller, this.key, this.layers, this.prompt, this.maxTokens, this.priority,
				time);
	}

}
