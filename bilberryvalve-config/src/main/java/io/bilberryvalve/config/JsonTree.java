package io.bilberryvalve.config;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A JSON value with its place in the text.
 */
sealed interface JsonTree {

	/**
	 * Returns the place of the first character of the value.
	 * @return the place
	 */
	Position position();

	/**
	 * Returns what the value is, as used in messages.
	 * @return for example {@code a list}
	 */
	String description();

	/**
	 * Returns a direct child.
	 * @param step key, or index followed by a closing bracket
	 * @return the child, or {@code null} if there is none
	 */
	default @Nullable JsonTree child(String step) {
		return null;
	}

	/**
	 * An object.
	 *
	 * @param position its place
	 * @param members its members in the order of the text
	 */
	record Members(Position position, Map<String, Member> members) implements JsonTree {

		/**
		 * Copies the members.
		 * @param position its place
		 * @param members its members
		 */
		public Members {
			members = Collections.unmodifiableMap(new LinkedHashMap<>(members));
		}

		/**
		 * Finds the place of a value in this object.
		 * @param path keys separated by dots, with the index of a list item in brackets
		 * @return the place, or {@code null} if there is no such value
		 */
		@Nullable Position locate(String path) {
			JsonTree tree = this;
			for (String step : path.split("[.\\[]")) {
				tree = (tree != null) ? tree.child(step) : null;
			}
			return (tree != null) ? tree.position() : null;
		}

		@Override
		public @Nullable JsonTree child(String step) {
			Member member = this.members.get(step);
			return (member != null) ? member.value() : null;
		}

		@Override
		public String description() {
			return "an object";
		}

	}

	/**
	 * A member of an object.
	 *
	 * @param position place of its key
	 * @param value its value
	 */
	record Member(Position position, JsonTree value) {

	}

	/**
	 * A list.
	 *
	 * @param position its place
	 * @param items its items
	 */
	record Items(Position position, List<JsonTree> items) implements JsonTree {

		/**
		 * Copies the items.
		 * @param position its place
		 * @param items its items
		 */
		public Items {
			items = List.copyOf(items);
		}

		@Override
		public @Nullable JsonTree child(String step) {
			if (!step.endsWith("]")) {
				return null;
			}
			int index = Integer.parseInt(step.substring(0, step.length() - 1));
			return (index < this.items.size()) ? this.items.get(index) : null;
		}

		@Override
		public String description() {
			return "a list";
		}

	}

	/**
	 * A string.
	 *
	 * @param position its place
	 * @param value the string
	 */
	record Text(Position position, String value) implements JsonTree {

		@Override
		public String description() {
			return "a string";
		}

	}

	/**
	 * An integer that fits into 64 bits.
	 *
	 * @param position its place
	 * @param value the integer
	 */
	record Whole(Position position, long value) implements JsonTree {

		@Override
		public String description() {
			return Long.toString(this.value);
		}

	}

	/**
	 * Another number.
	 *
	 * @param position its place
	 * @param value nearest double, possibly infinite
	 */
	record Decimal(Position position, double value) implements JsonTree {

		@Override
		public String description() {
			return Double.toString(this.value);
		}

	}

	/**
	 * {@code true} or {@code false}.
	 *
	 * @param position its place
	 * @param value the value
	 */
	record Flag(Position position, boolean value) implements JsonTree {

		@Override
		public String description() {
			return Boolean.toString(this.value);
		}

	}

	/**
	 * {@code null}.
	 *
	 * @param position its place
	 */
	record Null(Position position) implements JsonTree {

		@Override
		public String description() {
			return "null";
		}

	}

}
