package io.bilberryvalve.standins.engine;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * The document of {@code POST /v1/streams}.
 *
 * @param stream the request
 * @param epoch attempt epoch, from 1
 * @param tenant the club
 * @param model the model
 * @param version its version
 * @param adapter adapter, or {@code null} for none
 * @param prompt the prompt; a token of it is a word
 * @param delivered tokens that the caller has, which are not sent again
 * @param from index of the first token to send, the number of delivered tokens
 * @param maxTokens largest number of tokens of the whole reply
 * @param priority priority; each step doubles the weight
 * @param chain stages of the chain in order
 */
public record StreamRequest(String stream, int epoch, @Nullable String tenant, String model, String version,
		@Nullable String adapter, String prompt, @Nullable List<String> delivered, int from,
		@JsonProperty("max_tokens") int maxTokens, int priority, List<Stage> chain) {

	/**
	 * Checks the request and copies the lists.
	 * @throws IllegalArgumentException if a field is missing or out of range
	 */
	public StreamRequest {
		if (stream == null || model == null || version == null || prompt == null || chain == null) {
			throw new IllegalArgumentException("a stream needs stream, model, version, prompt and chain");
		}
		delivered = (delivered != null) ? List.copyOf(delivered) : List.of();
		chain = List.copyOf(chain);
		if (epoch < 1 || from != delivered.size() || maxTokens < 1 || from > maxTokens || chain.isEmpty()) {
			throw new IllegalArgumentException(
					"a stream needs epoch >= 1, from = number of delivered tokens <= max_tokens and a chain");
		}
		checkContiguous(chain);
	}

	/**
	 * Returns the number of tokens of the prompt.
	 * @return the number of words, at least 1
	 */
	int promptTokens() {
		return words(this.prompt).length;
	}

	/**
	 * Splits a prompt into its tokens.
	 * @param prompt the prompt
	 * @return the words
	 */
	static String[] words(String prompt) {
		return prompt.strip().split("\\s+");
	}

	private static void checkContiguous(List<Stage> chain) {
		for (int i = 1; i < chain.size(); i++) {
			if (chain.get(i - 1).end() != chain.get(i).first()) {
				throw new IllegalArgumentException("stage " + chain.get(i).runner() + " begins at layer "
						+ chain.get(i).first() + " but the stage before it ends at " + chain.get(i - 1).end());
			}
		}
	}

}
