package io.bilberryvalve.config;

import java.util.NoSuchElementException;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * A value that was read, or the fact that reading it failed and was reported.
 *
 * @param <T> type of the value
 */
final class Value<T> {

	private final @Nullable T value;

	private Value(@Nullable T value) {
		this.value = value;
	}

	static <T> Value<T> of(T value) {
		return new Value<>(value);
	}

	static <T> Value<T> failed() {
		return new Value<>(null);
	}

	boolean isValid() {
		return this.value != null;
	}

	T get() {
		if (this.value == null) {
			throw new NoSuchElementException("the value was not valid");
		}
		return this.value;
	}

	<U> Value<U> map(Function<T, U> function) {
		return (this.value != null) ? of(function.apply(this.value)) : failed();
	}

}
