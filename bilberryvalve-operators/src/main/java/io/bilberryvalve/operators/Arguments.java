package io.bilberryvalve.operators;

import java.util.Collection;
import java.util.Map;

/**
 * Checks arguments of declarations.
 */
final class Arguments {

	private Arguments() {
	}

	static double positive(String name, double value) {
		if (!(value > 0) || Double.isInfinite(value)) {
			throw new IllegalArgumentException(name + " " + value + " is out of range; use a finite value above 0");
		}
		return value;
	}

	static long positive(String name, long value) {
		if (value < 1) {
			throw new IllegalArgumentException(name + " " + value + " is out of range; use a value of at least 1");
		}
		return value;
	}

	static int positive(String name, int value) {
		positive(name, (long) value);
		return value;
	}

	static <K, V> void add(Map<K, V> declared, K key, V value, String what) {
		if (declared.containsKey(key)) {
			throw new IllegalArgumentException(what + " " + key + " is declared twice; remove one of the declarations");
		}
		declared.put(key, value);
	}

	static <K> K known(Collection<K> declared, K key, String what) {
		if (!declared.contains(key)) {
			throw new IllegalArgumentException(what + " " + key + " is not declared; declare it before it is used");
		}
		return key;
	}

}
