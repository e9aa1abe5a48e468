package io.bilberryvalve.policy.choice;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Computes the hashes of prompt prefixes in the format in which engines publish them.
 * There is one hash for each multiple of 16 words: the first 16 hexadecimal digits of the
 * SHA-256 digest of {@code model/version/adapter}, a line feed and the words joined by
 * single spaces.
 */
public final class PrefixHash {

	/** Number of words in a block. */
	public static final int BLOCK_WORDS = 16;

	/**
	 * Largest number of blocks hashed; a longer prompt is recognised by its beginning.
	 */
	private static final int MAX_BLOCKS = 32;

	private static final int DIGITS = 16;

	private PrefixHash() {
	}

	/**
	 * Returns the hashes of the prefixes of a prompt.
	 * @param model name of the model
	 * @param version version of the model
	 * @param adapter name of the adapter, or {@code null} for none
	 * @param prompt text of the prompt, split into words at white space
	 * @return at most 32 hashes, that of the shortest prefix first; empty if the prompt
	 * has fewer than 16 words
	 */
	public static List<String> of(String model, String version, @Nullable String adapter, String prompt) {
		String[] words = prompt.strip().split("\\s+", BLOCK_WORDS * MAX_BLOCKS + 1);
		int blocks = Math.min(MAX_BLOCKS, words.length / BLOCK_WORDS);
		List<String> hashes = new ArrayList<>(blocks);
		MessageDigest digest = sha256();
		digest.update(bytes(model + "/" + version + "/" + ((adapter != null) ? adapter : "") + "\n"));
		for (int i = 0; i < blocks * BLOCK_WORDS; i++) {
			digest.update(bytes((i > 0) ? " " + words[i] : words[i]));
			if ((i + 1) % BLOCK_WORDS == 0) {
				hashes.add(text(digest));
			}
		}
		return hashes;
	}

	private static String text(MessageDigest digest) {
		try {
			byte[] hash = ((MessageDigest) digest.clone()).digest();
			return HexFormat.of().formatHex(hash).substring(0, DIGITS);
		}
		catch (CloneNotSupportedException ex) {
			throw new IllegalStateException("the runtime cannot copy a SHA-256 digest", ex);
		}
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the runtime has no SHA-256", ex);
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
