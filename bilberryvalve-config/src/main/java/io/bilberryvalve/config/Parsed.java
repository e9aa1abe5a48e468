package io.bilberryvalve.config;

import java.util.List;

/**
 * The value of a text, or everything that is wrong with the text.
 *
 * @param <T> type of the value
 */
public sealed interface Parsed<T> {

	/**
	 * Returns the findings.
	 * @return the findings, empty for a valid text
	 */
	List<Finding> findings();

	/**
	 * Returns the value.
	 * @return the value
	 * @throws IllegalArgumentException if the text is not valid; the message lists all
	 * findings, one on each line
	 */
	T orThrow();

	/**
	 * A valid text.
	 *
	 * @param value its value
	 * @param <T> type of the value
	 */
	record Valid<T>(T value) implements Parsed<T> {

		@Override
		public List<Finding> findings() {
			return List.of();
		}

		@Override
		public T orThrow() {
			return this.value;
		}

	}

	/**
	 * A text with errors.
	 *
	 * @param findings the errors, at least one, in the order of the text
	 * @param <T> type of the value
	 */
	record Invalid<T>(List<Finding> findings) implements Parsed<T> {

		/**
		 * Copies the findings.
		 * @param findings the errors
		 * @throws IllegalArgumentException if there is no finding
		 */
		public Invalid {
			findings = List.copyOf(findings);
			if (findings.isEmpty()) {
				throw new IllegalArgumentException("an invalid text needs a finding");
			}
		}

		@Override
		public T orThrow() {
			throw new IllegalArgumentException(
					String.join(System.lineSeparator(), this.findings.stream().map(Finding::toString).toList()));
		}

	}

}
