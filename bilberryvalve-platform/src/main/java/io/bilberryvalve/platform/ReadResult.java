package io.bilberryvalve.platform;

/**
 * Result of a read.
 *
 * @param <T> type of the value
 */
public sealed interface ReadResult<T> {

	/**
	 * The value exists.
	 *
	 * @param value the value
	 * @param <T> type of the value
	 */
	record Found<T>(T value) implements ReadResult<T> {

	}

	/**
	 * The service answered that the value does not exist.
	 *
	 * @param <T> type of the value
	 */
	record Missing<T>() implements ReadResult<T> {

	}

	/**
	 * The service did not answer; nothing is known about the value.
	 *
	 * @param failure why
	 * @param <T> type of the value
	 */
	record Failed<T>(StoreFailure failure) implements ReadResult<T> {

	}

}
