package io.bilberryvalve.platform;

/**
 * Result of writing an object.
 */
public sealed interface Stored {

	/**
	 * The object is stored.
	 */
	record Done() implements Stored {

	}

	/**
	 * The write was refused before any effect.
	 *
	 * @param failure why
	 */
	record Refused(StoreFailure failure) implements Stored {

	}

	/**
	 * The write may or may not have taken effect.
	 *
	 * @param failure why
	 */
	record Unknown(StoreFailure failure) implements Stored {

	}

}
