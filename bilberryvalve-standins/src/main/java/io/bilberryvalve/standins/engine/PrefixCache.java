package io.bilberryvalve.standins.engine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Least-recently-used cache of prompt prefixes. A prefix has a multiple of
 * {@link #BLOCK_TOKENS} tokens. Its hash is the start, {@link #HASH_DIGITS} hexadecimal
 * digits, of the SHA-256 digest of {@code model/version/adapter}, a line feed and its
 * words joined by single blanks, in UTF-8; the adapter is empty if there is none.
 */
final class PrefixCache {

	/** Number of tokens in a block. */
	static final int BLOCK_TOKENS = 16;

	/** Number of digits of a hash. */
	static final int HASH_DIGITS = 16;

	private final int capacity;

	private final CacheEvents events;

	private final Map<String, Integer> prefixes = new LinkedHashMap<>(16, 0.75f, true);

	/**
	 * Creates an empty cache.
	 * @param capacity largest number of blocks
	 * @param events receives the changes
	 */
	PrefixCache(int capacity, CacheEvents events) {
		this.capacity = capacity;
		this.events = events;
	}

	/**
	 * Returns the length of the longest cached prefix.
	 * @param request the request
	 * @return the number of tokens
	 */
	synchronized int cached(StreamRequest request) {
		int cached = 0;
		for (String prefix : hashes(request)) {
			Integer tokens = this.prefixes.get(prefix);
			if (tokens == null) {
				break;
			}
			cached = tokens;
		}
		return cached;
	}

	/**
	 * Stores the prefixes of a prompt and removes the least recently used blocks above
	 * the capacity.
	 * @param request the request
	 */
	synchronized void store(StreamRequest request) {
		List<String> hashes = hashes(request);
		for (int i = 0; i < hashes.size(); i++) {
			if (this.prefixes.put(hashes.get(i), (i + 1) * BLOCK_TOKENS) == null) {
				this.events.add("stored", hashes.get(i));
			}
		}
		Iterator<String> oldest = this.prefixes.keySet().iterator();
		for (int excess = this.prefixes.size() - this.capacity; excess > 0; excess--) {
			this.events.add("removed", oldest.next());
			oldest.remove();
		}
	}

	/**
	 * Removes all blocks, because another model version has been loaded.
	 */
	synchronized void clear() {
		this.prefixes.keySet().forEach((prefix) -> this.events.add("removed", prefix));
		this.prefixes.clear();
	}

	synchronized double freeFraction() {
		return (this.capacity == 0) ? 1 : 1 - (double) this.prefixes.size() / this.capacity;
	}

	private static List<String> hashes(StreamRequest request) {
		String[] words = StreamRequest.words(request.prompt());
		List<String> hashes = new ArrayList<>();
		MessageDigest digest = sha256();
		digest.update(bytes(request.model() + "/" + request.version() + "/" + orEmpty(request.adapter()) + "\n"));
		for (int i = 0; i < words.length; i++) {
			digest.update(bytes((i > 0) ? " " + words[i] : words[i]));
			if ((i + 1) % BLOCK_TOKENS == 0) {
				hashes.add(text(digest));
			}
		}
		return hashes;
	}

	private static String text(MessageDigest digest) {
		try {
			byte[] hash = ((MessageDigest) digest.clone()).digest();
			return HexFormat.of().formatHex(hash).substring(0, HASH_DIGITS);
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

	private static String orEmpty(@Nullable String text) {
		return (text != null) ? text : "";
	}

}
