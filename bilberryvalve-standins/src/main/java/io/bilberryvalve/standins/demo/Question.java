package io.bilberryvalve.standins.demo;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.bilberryvalve.standins.engine.ReplyText;

/**
 * What a caller asks, with the model that is expected to answer.
 *
 * @param pipeline the pipeline
 * @param model model of the pipeline
 * @param prompt the prompt
 * @param maxTokens length of the reply in tokens
 */
record Question(String pipeline, String model, String prompt, int maxTokens) {

	/**
	 * Returns the document of {@code POST /v1/completions}.
	 * @return the document
	 */
	Body body() {
		return new Body(this.pipeline, this.prompt, this.maxTokens, true, 0);
	}

	/**
	 * Compares a reply with the one that the model gives.
	 * @param tokens the received tokens
	 * @return what is wrong, empty if each token arrived once and in order
	 */
	List<String> check(List<Caller.Token> tokens) {
		List<String> faults = new ArrayList<>();
		if (tokens.size() != this.maxTokens) {
			faults.add("received " + tokens.size() + " of " + this.maxTokens + " tokens");
		}
		for (int i = 0; i < tokens.size(); i++) {
			Caller.Token token = tokens.get(i);
			String expected = ReplyText.token(this.model, this.prompt, i);
			if (token.index() != i || !token.text().equals(expected)) {
				faults.add("token " + i + " is '" + token.text() + "' with index " + token.index() + ", not '"
						+ expected + "'");
			}
		}
		return faults;
	}

	/**
	 * The document of {@code POST /v1/completions}.
	 *
	 * @param model the pipeline
	 * @param prompt the prompt
	 * @param maxTokens length of the reply in tokens
	 * @param stream whether tokens are sent as they are ready
	 * @param priority the priority
	 */
	record Body(String model, String prompt, @JsonProperty("max_tokens") int maxTokens, boolean stream, int priority) {

	}

}
