package io.bilberryvalve.platform;

/**
 * Result of a read from a platform service.
 *
 * @param <T> type of the value
 */
public sealed interface ReadResult<T> {

	/**
	 * The value exists.
	 *
	 * @param value value that was read
	 * @param <T> type of the value
	 */
	record Found<T>(T value) implements ReadResult<T> {

	}

	/**
	 * The service responded that the value does not exist.
	 *
	 * @param <T> type of the value
	 */
	record Missing<T>() implements ReadResult<T> {

	}

	/**
	 * The read failed; nothing is known about the value.
	 *
	 * @param failure reason for the failure
	 * @param <T> type of the value
	 */
	record Failed<T>(StoreFailure failure) implements ReadResult<T> {

	}

}
