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
	 * @param era era of the store in which it was read, 0 if the service states none
	 * @param <T> type of the value
	 */
	record Found<T>(T value, long era) implements ReadResult<T> {

		/**
		 * Creates the result of a service that states no era.
		 * @param value value that was read
		 */
		public Found(T value) {
			this(value, 0);
		}

	}

	/**
	 * The service responded that the value does not exist.
	 *
	 * @param era era of the store that responded, 0 if the service states none
	 * @param <T> type of the value
	 */
	record Missing<T>(long era) implements ReadResult<T> {

		/**
		 * Creates the result of a service that states no era.
		 */
		public Missing() {
			this(0);
		}

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
