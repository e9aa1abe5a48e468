package io.bilberryvalve.platform;

import java.util.concurrent.CompletionStage;

/**
 * Store of immutable objects. Stages never complete exceptionally.
 */
public interface ObjectStore {

	/**
	 * Writes an object. Writing the same object again is harmless.
	 * @param key the key; slashes separate its segments
	 * @param body the body
	 * @return the result
	 */
	CompletionStage<PutResult> put(String key, byte[] body);

	/**
	 * Reads an object.
	 * @param key the key
	 * @return the body
	 */
	CompletionStage<ReadResult<byte[]>> get(String key);

}
