package io.bilberryvalve.platform.watch;

import java.util.Comparator;

/**
 * Version of a store. A store that returns from a copy has lost what it acknowledged
 * since the copy was made: its versions go back and are given out again, and a new era
 * begins. Versions are therefore ordered by era first.
 *
 * @param era number of the era, which rises by one at each return from a copy; 0 if the
 * store states none
 * @param version number that rises with each change within the era
 */
public record StoreVersion(long era, long version) implements Comparable<StoreVersion> {

	/** Version before anything was read. */
	public static final StoreVersion NONE = new StoreVersion(0, 0);

	private static final Comparator<StoreVersion> ORDER = Comparator.comparingLong(StoreVersion::era)
		.thenComparingLong(StoreVersion::version);

	/**
	 * Validates the numbers.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public StoreVersion {
		if (era < 0 || version < 0) {
			throw new IllegalArgumentException("a store has no negative era or version: " + era + ", " + version);
		}
	}

	@Override
	public int compareTo(StoreVersion other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Returns whether this version is older than another one.
	 * @param other version to compare with
	 * @return whether its era is earlier, or its number is lower in the same era
	 */
	public boolean isBefore(StoreVersion other) {
		return compareTo(other) < 0;
	}

	@Override
	public String toString() {
		return this.era + ":" + this.version;
	}

}
