package io.bilberryvalve.platform;

/**
 * Result of {@link ObjectStore#put}.
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
	 * @param failure reason for the refusal
	 */
	record Refused(StoreFailure failure) implements PutResult {

	}

	/**
	 * The write may or may not have taken effect.
	 *
	 * @param failure reason why the result is not known
	 */
	record Unknown(StoreFailure failure) implements PutResult {

	}

}
