package io.bilberryvalve.platform;

import java.util.concurrent.CompletionStage;

/**
 * Store of immutable objects. Methods return stages that never complete exceptionally: a
 * failure is a result.
 */
public interface ObjectStore {

	/**
	 * Writes an object. The write is idempotent, so a caller may repeat it.
	 * @param key key of the object; slashes separate its segments
	 * @param body content of the object
	 * @return whether the object is stored
	 */
	CompletionStage<PutResult> put(String key, byte[] body);

	/**
	 * Reads an object.
	 * @param key key of the object
	 * @return the content of the object
	 */
	CompletionStage<ReadResult<byte[]>> get(String key);

}
