package io.bilberryvalve.model;

import java.util.function.Function;

/**
 * Result of an operation: either its value or the problem that prevented it.
 *
 * @param <T> type of the value
 */
public sealed interface Result<T> {

	/**
	 * Creates a successful result.
	 * @param value the value
	 * @param <T> type of the value
	 * @return the result
	 */
	static <T> Result<T> ok(T value) {
		return new Ok<>(value);
	}

	/**
	 * Creates a failed result.
	 * @param problem the problem
	 * @param <T> type of the value
	 * @return the result
	 */
	static <T> Result<T> failed(Problem problem) {
		return new Failed<>(problem);
	}

	/**
	 * Applies a function to the value of a successful result.
	 * @param function function from the value to a new result; not called if this result
	 * failed
	 * @param <U> type of the new value
	 * @return the result of the function, or a failed result with the problem of this one
	 */
	default <U> Result<U> flatMap(Function<? super T, Result<U>> function) {
		if (this instanceof Ok<T> ok) {
			return function.apply(ok.value());
		}
		return new Failed<>(((Failed<T>) this).problem());
	}

	/**
	 * A successful result.
	 *
	 * @param value the value
	 * @param <T> type of the value
	 */
	record Ok<T>(T value) implements Result<T> {

	}

	/**
	 * A failed result.
	 *
	 * @param problem the problem
	 * @param <T> type of the value
	 */
	record Failed<T>(Problem problem) implements Result<T> {

	}

}
