package io.bilberryvalve.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/**
 * Parses a text into one value or into findings in the order of the text.
 */
final class Document {

	private static final Comparator<Finding> IN_TEXT_ORDER = Comparator.comparing(Finding::position,
			Comparator.nullsFirst(Comparator.comparingInt(Position::line).thenComparingInt(Position::column)));

	private Document() {
	}

	/**
	 * Parses a text.
	 * @param source name of the text in findings
	 * @param text the text
	 * @param read reads the top-level object
	 * @param <T> type of the value
	 * @return the value or the findings
	 */
	static <T> Parsed<T> parse(String source, String text, Function<Fields, Value<T>> read) {
		List<Finding> findings = new ArrayList<>();
		JsonTree.Members tree = JsonReader.read(source, text, findings);
		if (tree != null) {
			Value<T> value = read.apply(new Fields(source, "", tree, findings));
			if (findings.isEmpty()) {
				return new Parsed.Valid<>(value.get());
			}
		}
		findings.sort(IN_TEXT_ORDER);
		return new Parsed.Invalid<>(findings);
	}

}
