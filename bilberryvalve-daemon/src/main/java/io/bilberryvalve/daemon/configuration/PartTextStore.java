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
 * Texts of configuration parts by their digest: a cache in memory, backed by the object
 * store. Safe for use by several threads.
 */
final class PartTextStore {

	private static final String PREFIX = "configuration/";

	private static final int PUT_ATTEMPTS = 3;

	private final ObjectStore objects;

	private final Map<String, String> byDigest = new ConcurrentHashMap<>();

	PartTextStore(ObjectStore objects) {
		this.objects = objects;
	}

	static String digest(String text) {
		return KeyDigest.of(text);
	}

	static String configurationDigest(Map<String, String> digests) {
		StringBuilder all = new StringBuilder();
		new TreeMap<>(digests).forEach((name, digest) -> all.append(name).append(' ').append(digest).append('\n'));
		return KeyDigest.of(all.toString());
	}

	// Computes the digest itself, so that a text is never cached under a wrong digest.
	void add(String text) {
		this.byDigest.put(digest(text), text);
	}

	void keepOnly(Map<String, String> digests) {
		this.byDigest.keySet().retainAll(digests.values());
	}

	@Nullable String getCached(String digest) {
		return this.byDigest.get(digest);
	}

	@Nullable Map<String, String> getAllCached(Map<String, String> digests) {
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
	 * Returns the texts of all parts. Texts that are not cached are loaded from the
	 * object store, but not added to the cache.
	 * @param digests digests by the name of their part
	 * @return texts by the name of their part, or an empty map if a text cannot be loaded
	 * or does not match its digest
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
		String cached = this.byDigest.get(digest);
		if (cached != null) {
			return CompletableFuture.completedFuture(cached);
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
	 * Writes a text to the object store. If the result of the write is unknown it is
	 * repeated, up to 3 attempts; this is safe, because the key of the object is the
	 * digest of the text.
	 * @param text the text
	 * @return whether the write was confirmed
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
