package io.bilberryvalve.policy.lease;

import org.jspecify.annotations.Nullable;

/**
 * Fencing number (often called fencing token) of a lease grant. It increases with each
 * grant to another holder, so that an engine can refuse orders of an earlier holder. Its
 * upper bits hold the era of the store, so that numbers also rise when the store was
 * restored from a copy and has lost the last grants.
 *
 * @param value the number, at least 1
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

	/**
	 * Bits of an order number that hold the number of the grant; the bits above hold the
	 * configuration version.
	 */
	private static final int GRANT_BITS = 20;

	/**
	 * Bits that hold the number of the grant within the era; the bits above hold the era.
	 */
	private static final int ERA_SHIFT = 32;

	/** Largest number of a grant within an era. */
	private static final long MAX_IN_ERA = (1L << ERA_SHIFT) - 1;

	/** Latest era for which there are fencing numbers. */
	public static final long MAX_ERA = Long.MAX_VALUE >> ERA_SHIFT;

	/**
	 * Checks the number.
	 * @throws IllegalArgumentException if it is below 1
	 */
	public FencingNumber {
		if (value < 1) {
			throw new IllegalArgumentException("a fencing number is at least 1, not " + value);
		}
	}

	/**
	 * Returns a number for the first grant that replaces a version of the row of the
	 * lease. In an era above 0 it is derived from that version: at most one write
	 * replaces a version, and versions rise within an era, so that no number is assigned
	 * twice even if a write that was prepared in an earlier era has overwritten the last
	 * grant. A store that states no era does not go back to a copy, and numbers rise by 1
	 * from the last grant.
	 * @param era era of the store, up to {@link #MAX_ERA}
	 * @param rowVersion version of the row that the grant replaces, 0 if it is absent
	 * @param last fencing number of the last grant in the row, or {@code null} if it is
	 * absent
	 * @return the number, above {@code last} if that is of the same or an earlier era
	 */
	static FencingNumber replacing(long era, long rowVersion, @Nullable FencingNumber last) {
		if (era == 0 || rowVersion >= MAX_IN_ERA) {
			return (last != null && last.era() == era) ? last.next() : new FencingNumber((era << ERA_SHIFT) + 1);
		}
		return new FencingNumber((era << ERA_SHIFT) + rowVersion + 1);
	}

	/**
	 * Returns the highest number that can have been assigned when a row has a version.
	 * @param era era of the store
	 * @param rowVersion version of the row, at least 1
	 * @return the number
	 */
	public static FencingNumber highest(long era, long rowVersion) {
		return new FencingNumber((era << ERA_SHIFT) + ((era == 0) ? rowVersion : Math.min(rowVersion, MAX_IN_ERA - 1)));
	}

	/**
	 * Returns whether a number can be in a row. Each grant writes the row, and each write
	 * raises its version, so that no number within an era is above the version. This also
	 * holds for the rows of a copy, which keep their versions.
	 * @param value number in the row
	 * @param era era of the store when it returned the row
	 * @param rowVersion version of the row
	 * @return whether its era is not later and its number within that era is from 1 up to
	 * the version
	 */
	public static boolean isPossible(long value, long era, long rowVersion) {
		if (era == 0) {
			return value >= 1 && value <= rowVersion;
		}
		long number = value & MAX_IN_ERA;
		return value >= 1 && value >> ERA_SHIFT <= era && number >= 1 && number <= rowVersion;
	}

	/**
	 * Returns the era of the store in which the number was assigned.
	 * @return the era, 0 for a store that states none
	 */
	public long era() {
		return this.value >> ERA_SHIFT;
	}

	/**
	 * Returns the number of the next grant to another holder.
	 * @return number that is higher by 1
	 */
	public FencingNumber next() {
		return new FencingNumber(this.value + 1);
	}

	/**
	 * Returns the fencing number to send with an order. A runner that changes its model
	 * is covered by another lease, whose grants are numbered independently. The
	 * configuration version therefore takes the upper bits: an order for a later
	 * configuration always has the higher number.
	 * @param configurationVersion version that the order carries out
	 * @return number with the version in the upper bits and the grant in the lower ones
	 */
	public FencingNumber forOrder(long configurationVersion) {
		return new FencingNumber((configurationVersion << GRANT_BITS) + this.value);
	}

	@Override
	public int compareTo(FencingNumber other) {
		return Long.compare(this.value, other.value);
	}

}
