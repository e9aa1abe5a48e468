package io.bilberryvalve.platform;

/**
 * Result of writing an object.
 */
public sealed interface PutResult {

	/**
	 * The object is stored.
	 */
	record Done() implements PutResult {

	}

	/**
	 * The write was refused before any effect.
	 *
	 * @param failure why
	 */
	record Refused(StoreFailure failure) implements PutResult {

	}

	/**
	 * The write may or may not have taken effect.
	 *
	 * @param failure why
	 */
	record Unknown(StoreFailure failure) implements PutResult {

	}

}
