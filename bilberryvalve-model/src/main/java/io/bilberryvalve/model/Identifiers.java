package io.bilberryvalve.model;

import java.util.regex.Pattern;

/**
 * Validates the text of the identifier types in this package.
 */
final class Identifiers {

	private static final Pattern FORM = Pattern.compile("[a-z0-9][a-z0-9.-]{0,62}");

	private Identifiers() {
	}

	static void check(String type, String value) {
		if (!FORM.matcher(value).matches()) {
			throw new IllegalArgumentException(type + " '" + value
					+ "' is not valid; use 1 to 63 lower-case letters, digits, dots and hyphens, starting with a letter or digit");
		}
	}

}
