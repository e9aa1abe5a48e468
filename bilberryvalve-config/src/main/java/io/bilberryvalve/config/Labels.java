package io.bilberryvalve.config;

import java.util.regex.Pattern;

/**
 * Checks labels whose form the model types leave open: model versions and adapters.
 */
public final class Labels {

	private static final Pattern FORM = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._+-]{0,62}");

	private Labels() {
	}

	/**
	 * Checks a label.
	 * @param label the label
	 * @return the label
	 * @throws IllegalArgumentException if it is not 1 to 63 letters, digits, dots, plus
	 * signs, underscores and hyphens, starting with a letter or digit
	 */
	public static String check(String label) {
		if (!FORM.matcher(label).matches()) {
			throw new IllegalArgumentException("label '" + label
					+ "' is not valid; use 1 to 63 letters, digits and any of . + _ -, starting with a letter or digit");
		}
		return label;
	}

}
