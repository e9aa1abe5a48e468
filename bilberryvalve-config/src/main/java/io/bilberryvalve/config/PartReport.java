package io.bilberryvalve.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * Receives the findings of one part and adds their places.
 */
final class PartReport {

	private final String part;

	private final @Nullable ConfigurationDocument document;

	private final List<Finding> findings;

	PartReport(String part, @Nullable ConfigurationDocument document, List<Finding> findings) {
		this.part = part;
		this.document = document;
		this.findings = findings;
	}

	void add(String path, String message, String remedy) {
		Position position = (this.document != null) ? this.document.locate(path) : null;
		this.findings.add(new Finding(this.part, path, position, message, remedy));
	}

	/**
	 * Reports each item whose key an earlier item has.
	 * @param list name of the list
	 * @param items the items
	 * @param key returns the key of an item
	 * @param <T> type of an item
	 */
	<T> void unique(String list, List<T> items, Function<T, Object> key) {
		Map<Object, Integer> first = new HashMap<>();
		for (int i = 0; i < items.size(); i++) {
			Object value = key.apply(items.get(i));
			Integer earlier = first.putIfAbsent(value, i);
			if (earlier != null) {
				add(at(list, i), value + " also stands at " + at(list, earlier), "remove one of them");
			}
		}
	}

	/**
	 * Reports a name that is not among the declared ones.
	 * @param path path of the name
	 * @param name the name
	 * @param declared the declared names
	 * @param where where names are declared
	 */
	void exists(String path, Object name, Collection<?> declared, String where) {
		if (!declared.contains(name)) {
			add(path, name + " is not declared", "declare it in " + where + " or use another name");
		}
	}

	/**
	 * Reports each name that is not among the declared ones.
	 * @param list path of the list of names
	 * @param names the names
	 * @param declared the declared names
	 * @param where where names are declared
	 */
	void exist(String list, List<?> names, Collection<?> declared, String where) {
		for (int i = 0; i < names.size(); i++) {
			exists(at(list, i), names.get(i), declared, where);
		}
	}

	static String at(String list, int index) {
		return list + "[" + index + "]";
	}

	static <T, K> Set<K> keys(List<T> items, Function<T, K> key) {
		Set<K> keys = new HashSet<>();
		items.forEach((item) -> keys.add(key.apply(item)));
		return keys;
	}

}
