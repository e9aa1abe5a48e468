package io.bilberryvalve.standins.engine;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The reply that an engine gives, a function of model, prompt and index only. Tests
 * compute the expected reply with it.
 */
public final class ReplyText {

	private static final String[] WORDS = { "the", "wax", "wick", "refill", "order", "box", "of", "twelve", "stand",
			"battery", "bell", "cell", "swap", "van", "desk", "part", "check", "stock", "call", "shop" };

	private static final int VARIANTS = 1000;

	private ReplyText() {
	}

	/**
	 * Returns a token of a reply.
	 * @param model the model
	 * @param prompt the prompt
	 * @param index index of the token, from 0
	 * @return the token, a word with a number and a trailing blank
	 */
	public static String token(String model, String prompt, int index) {
		long hash = hash(model, prompt, index);
		int word = (int) Long.remainderUnsigned(hash, WORDS.length);
		long variant = Long.remainderUnsigned(hash >>> Integer.SIZE, VARIANTS);
		return WORDS[word] + variant + " ";
	}

	/**
	 * Returns the text of a whole reply.
	 * @param model the model
	 * @param prompt the prompt
	 * @param tokens number of tokens
	 * @return the tokens, joined
	 */
	public static String whole(String model, String prompt, int tokens) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < tokens; i++) {
			text.append(token(model, prompt, i));
		}
		return text.toString();
	}

	/**
	 * Returns the number of tokens of a reply.
	 * @param model the model
	 * @param prompt the prompt
	 * @param maxTokens largest number of tokens that the client wants
	 * @param endsEarly whether replies end on their own before this number
	 * @return the number of tokens, from 1 to {@code maxTokens}
	 */
	public static int length(String model, String prompt, int maxTokens, boolean endsEarly) {
		if (!endsEarly) {
			return maxTokens;
		}
		return 1 + (int) Long.remainderUnsigned(hash(model, prompt, -1), maxTokens);
	}

	private static long hash(String model, String prompt, int index) {
		HashStream64 stream = Hashing.komihash5_0().hashStream();
		return stream.putString(model).putString(prompt).putInt(index).getAsLong();
	}

}
