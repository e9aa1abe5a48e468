package io.bilberryvalve.daemon.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.config.KeyDigest;
import io.bilberryvalve.platform.ObjectStore;
import io.bilberryvalve.platform.PutResult;
import io.bilberryvalve.platform.ReadResult;
import org.jspecify.annotations.Nullable;

/**
 * Texts of parts by their digests, with the object store behind them.
 */
final class PartTexts {

	private static final String PREFIX = "configuration/";

	private static final int PUT_ATTEMPTS = 3;

	private final ObjectStore objects;

	private final Map<String, String> byDigest = new ConcurrentHashMap<>();

	PartTexts(ObjectStore objects) {
		this.objects = objects;
	}

	static String digest(String text) {
		return KeyDigest.of(text);
	}

	static String digest(Map<String, String> digests) {
		StringBuilder all = new StringBuilder();
		new TreeMap<>(digests).forEach((name, digest) -> all.append(name).append(' ').append(digest).append('\n'));
		return KeyDigest.of(all.toString());
	}

	// Adds a text only under the digest that it has.
	void add(String text) {
		this.byDigest.put(digest(text), text);
	}

	void keepOnly(Map<String, String> digests) {
		this.byDigest.keySet().retainAll(digests.values());
	}

	@Nullable String get(String digest) {
		return this.byDigest.get(digest);
	}

	@Nullable Map<String, String> texts(Map<String, String> digests) {
		Map<String, String> texts = new TreeMap<>();
		for (Map.Entry<String, String> entry : digests.entrySet()) {
			String text = this.byDigest.get(entry.getValue());
			if (text == null) {
				return null;
			}
			texts.put(entry.getKey(), text);
		}
		return texts;
	}

	/**
	 * Loads the texts that are not held.
	 * @param digests digest of each part
	 * @return text of each part, or an empty map if one cannot be loaded
	 */
	CompletionStage<Map<String, String>> load(Map<String, String> digests) {
		Map<String, CompletableFuture<@Nullable String>> loads = new HashMap<>();
		digests.forEach((name, digest) -> loads.put(name, load(digest)));
		return CompletableFuture.allOf(loads.values().toArray(CompletableFuture<?>[]::new)).thenApply((done) -> {
			Map<String, String> texts = new TreeMap<>();
			for (Map.Entry<String, CompletableFuture<@Nullable String>> entry : loads.entrySet()) {
				String text = entry.getValue().join();
				if (text == null) {
					return Collections.emptyMap();
				}
				texts.put(entry.getKey(), text);
			}
			return texts;
		});
	}

	private CompletableFuture<@Nullable String> load(String digest) {
		String held = this.byDigest.get(digest);
		if (held != null) {
			return CompletableFuture.completedFuture(held);
		}
		return this.objects.get(PREFIX + digest).<@Nullable String>thenApply((fetched) -> {
			if (!(fetched instanceof ReadResult.Found<byte[]> found)) {
				return null;
			}
			String text = new String(found.value(), StandardCharsets.UTF_8);
			return digest(text).equals(digest) ? text : null;
		}).toCompletableFuture();
	}

	/**
	 * Stores a text. Repeating the write is harmless, because its key is its digest.
	 * @param text the text
	 * @return whether it is stored
	 */
	CompletionStage<Boolean> store(String text) {
		return store(text, PUT_ATTEMPTS);
	}

	private CompletionStage<Boolean> store(String text, int attempts) {
		byte[] body = text.getBytes(StandardCharsets.UTF_8);
		return this.objects.put(PREFIX + digest(text), body).thenCompose((stored) -> {
			if (stored instanceof PutResult.Unknown && attempts > 1) {
				return store(text, attempts - 1);
			}
			return CompletableFuture.completedFuture(stored instanceof PutResult.Done);
		});
	}

}
