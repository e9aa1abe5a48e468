package io.bilberryvalve.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * Reads the members of a JSON object and reports each one that is missing, unknown, of
 * the wrong type or out of range. Reading continues after an error, so that all errors of
 * a text are reported.
 */
final class Fields {

	private final String source;

	private final String path;

	private final JsonTree.Members object;

	private final List<Finding> findings;

	private final Set<String> known = new LinkedHashSet<>();

	private boolean failed;

	Fields(String source, String path, JsonTree.Members object, List<Finding> findings) {
		this.source = source;
		this.path = path;
		this.object = object;
		this.findings = findings;
	}

	/**
	 * Returns the object whose members are read.
	 * @return the object
	 */
	JsonTree.Members object() {
		return this.object;
	}

	/**
	 * Tells whether a member is present with a value other than {@code null}.
	 * @param name its key
	 * @return whether it is present
	 */
	boolean has(String name) {
		this.known.add(name);
		JsonTree.Member member = this.object.members().get(name);
		return member != null && !(member.value() instanceof JsonTree.Null);
	}

	/**
	 * Reads a member that may be absent or {@code null}.
	 * @param name its key
	 * @param read reads the value
	 * @param fallback value of an absent member
	 * @param <T> type of the value
	 * @return the value
	 */
	<T> Value<T> optional(String name, Function<String, Value<T>> read, T fallback) {
		return has(name) ? read.apply(name) : Value.of(fallback);
	}

	/**
	 * Reads a string that may be absent or {@code null}.
	 * @param name its key
	 * @param parse converts it; an {@link IllegalArgumentException} is reported
	 * @param <T> type of the value
	 * @return the value
	 */
	<T> Value<Optional<T>> optionalText(String name, Function<String, T> parse) {
		return optional(name, (key) -> text(key, (text) -> Optional.of(parse.apply(text))), Optional.empty());
	}

	/**
	 * Reads a string.
	 * @param name its key
	 * @param parse converts it; an {@link IllegalArgumentException} is reported
	 * @param <T> type of the value
	 * @return the value
	 */
	<T> Value<T> text(String name, Function<String, T> parse) {
		JsonTree tree = member(name);
		return (tree != null) ? text(child(name), tree, parse) : Value.failed();
	}

	private <T> Value<T> text(String where, JsonTree tree, Function<String, T> parse) {
		if (!(tree instanceof JsonTree.Text text)) {
			return wrongType(where, tree, "a string");
		}
		try {
			return Value.of(parse.apply(text.value()));
		}
		catch (IllegalArgumentException ex) {
			return fail(Finding.of(this.source, where, tree.position(), ex.getMessage()));
		}
	}

	/**
	 * Reads an integer.
	 * @param name its key
	 * @param min smallest value
	 * @param max largest value
	 * @return the value
	 */
	Value<Long> whole(String name, long min, long max) {
		JsonTree tree = member(name);
		if (tree == null) {
			return Value.failed();
		}
		if (!(tree instanceof JsonTree.Whole whole)) {
			return wrongType(child(name), tree, "an integer from " + min + " to " + max);
		}
		if (whole.value() < min || whole.value() > max) {
			return outOfRange(name, tree, min + " to " + max);
		}
		return Value.of(whole.value());
	}

	/**
	 * Reads a number above 0.
	 * @param name its key
	 * @param max largest value
	 * @return the value
	 */
	Value<Double> positive(String name, long max) {
		JsonTree tree = member(name);
		if (tree == null) {
			return Value.failed();
		}
		double value = Double.NaN;
		if (tree instanceof JsonTree.Whole whole) {
			value = whole.value();
		}
		else if (tree instanceof JsonTree.Decimal decimal) {
			value = decimal.value();
		}
		else {
			return wrongType(child(name), tree, "a number");
		}
		return (value > 0 && value <= max) ? Value.of(value)
				: outOfRange(name, tree, "a value above 0, at most " + max);
	}

	/**
	 * Reads {@code true} or {@code false}.
	 * @param name its key
	 * @return the value
	 */
	Value<Boolean> flag(String name) {
		JsonTree tree = member(name);
		if (tree == null) {
			return Value.failed();
		}
		return (tree instanceof JsonTree.Flag flag) ? Value.of(flag.value())
				: wrongType(child(name), tree, "true or false");
	}

	/**
	 * Reads an object.
	 * @param name its key
	 * @param read reads its members
	 * @param <T> type of the value
	 * @return the value
	 */
	<T> Value<T> object(String name, Function<Fields, Value<T>> read) {
		JsonTree tree = member(name);
		return (tree != null) ? object(child(name), tree, read) : Value.failed();
	}

	private <T> Value<T> object(String where, JsonTree tree, Function<Fields, Value<T>> read) {
		if (!(tree instanceof JsonTree.Members members)) {
			return wrongType(where, tree, "an object");
		}
		return failedIfNot(read.apply(new Fields(this.source, where, members, this.findings)));
	}

	/**
	 * Reads a list of objects.
	 * @param name its key
	 * @param read reads the members of one object
	 * @param <T> type of an item
	 * @return the valid items
	 */
	<T> Value<List<T>> objects(String name, Function<Fields, Value<T>> read) {
		return items(name, (where, item) -> object(where, item, read));
	}

	/**
	 * Reads a list of strings.
	 * @param name its key
	 * @param parse converts a string; an {@link IllegalArgumentException} is reported
	 * @param <T> type of an item
	 * @return the valid items
	 */
	<T> Value<List<T>> texts(String name, Function<String, T> parse) {
		return items(name, (where, item) -> text(where, item, parse));
	}

	private <T> Value<List<T>> items(String name, ItemReader<T> read) {
		JsonTree tree = member(name);
		if (tree == null) {
			return Value.failed();
		}
		if (!(tree instanceof JsonTree.Items items)) {
			return wrongType(child(name), tree, "a list");
		}
		List<T> values = new ArrayList<>();
		for (int i = 0; i < items.items().size(); i++) {
			Value<T> value = read.read(child(name) + "[" + i + "]", items.items().get(i));
			if (value.isValid()) {
				values.add(value.get());
			}
		}
		return Value.of(values);
	}

	/**
	 * Reports unknown members and creates the value if every member was valid.
	 * @param create creates the value; an {@link IllegalArgumentException} is reported
	 * @param <T> type of the value
	 * @return the value
	 */
	<T> Value<T> build(Supplier<T> create) {
		this.object.members().forEach(this::checkKnown);
		if (this.failed) {
			return Value.failed();
		}
		try {
			return Value.of(create.get());
		}
		catch (IllegalArgumentException ex) {
			return fail(Finding.of(this.source, this.path, this.object.position(), ex.getMessage()));
		}
	}

	private void checkKnown(String name, JsonTree.Member member) {
		if (!this.known.contains(name)) {
			fail(new Finding(this.source, child(name), member.position(), "the key is not known",
					"use one of " + String.join(", ", this.known)));
		}
	}

	private @Nullable JsonTree member(String name) {
		this.known.add(name);
		JsonTree.Member member = this.object.members().get(name);
		if (member == null) {
			fail(new Finding(this.source, child(name), this.object.position(), "the key is missing", "add it"));
			return null;
		}
		return member.value();
	}

	private <T> Value<T> wrongType(String where, JsonTree tree, String expected) {
		return fail(new Finding(this.source, where, tree.position(), "the value is " + tree.description(),
				"write " + expected));
	}

	private <T> Value<T> outOfRange(String name, JsonTree tree, String range) {
		return fail(new Finding(this.source, child(name), tree.position(),
				"the value " + tree.description() + " is out of range", "use " + range));
	}

	private <T> Value<T> failedIfNot(Value<T> value) {
		this.failed |= !value.isValid();
		return value;
	}

	private <T> Value<T> fail(Finding finding) {
		this.failed = true;
		this.findings.add(finding);
		return Value.failed();
	}

	private String child(String name) {
		return this.path.isEmpty() ? name : this.path + "." + name;
	}

	/**
	 * Reads an item of a list.
	 *
	 * @param <T> type of the item
	 */
	private interface ItemReader<T> {

		Value<T> read(String where, JsonTree item);

	}

}
