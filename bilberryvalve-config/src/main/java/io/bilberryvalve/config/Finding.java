package io.bilberryvalve.config;

import org.jspecify.annotations.Nullable;

/**
 * An error in a settings file or in a part of the configuration.
 *
 * @param source file or part that holds the error
 * @param path path of the value, for example {@code runners[3].end}; empty for the whole
 * text
 * @param position place of the value, or {@code null} if it is not known
 * @param message what is wrong
 * @param remedy what to change
 */
public record Finding(String source, String path, @Nullable Position position, String message, String remedy) {

	private static final String SEPARATOR = "; ";

	/**
	 * Creates a finding from the message of an argument check, whose last clause is the
	 * remedy.
	 * @param source file or part that holds the error
	 * @param path path of the value
	 * @param position place of the value, or {@code null} if it is not known
	 * @param text message and remedy, separated by a semicolon
	 * @return the finding
	 */
	static Finding of(String source, String path, @Nullable Position position, @Nullable String text) {
		String whole = (text != null) ? text : "the value is not valid";
		int split = whole.lastIndexOf(SEPARATOR);
		if (split < 0) {
			return new Finding(source, path, position, whole, "correct the value");
		}
		return new Finding(source, path, position, whole.substring(0, split),
				whole.substring(split + SEPARATOR.length()));
	}

	/**
	 * Returns the finding on one line, with control characters replaced.
	 * @return for example {@code federation:12:5: runners[3].end: message; remedy}
	 */
	@Override
	public String toString() {
		StringBuilder text = new StringBuilder(this.source);
		if (this.position != null) {
			text.append(':').append(this.position);
		}
		text.append(": ");
		if (!this.path.isEmpty()) {
			text.append(this.path).append(": ");
		}
		text.append(this.message).append(SEPARATOR).append(this.remedy);
		return text.toString().replaceAll("\\p{Cntrl}", "?");
	}

}
