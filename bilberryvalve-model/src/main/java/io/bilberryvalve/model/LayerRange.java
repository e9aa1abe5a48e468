package io.bilberryvalve.model;

/**
 * A contiguous range of model layers.
 *
 * @param first index of the first layer, inclusive, from 0
 * @param end index after the last layer, greater than {@code first}
 */
public record LayerRange(int first, int end) implements Comparable<LayerRange> {

	/**
	 * Checks the range.
	 * @throws IllegalArgumentException if the range is empty or starts below 0
	 */
	public LayerRange {
		if (first < 0 || end <= first) {
			throw new IllegalArgumentException(
					"layer range [" + first + ", " + end + ") is empty or negative; use 0 <= first < end");
		}
	}

	/**
	 * Returns the number of layers.
	 * @return the number of layers, at least 1
	 */
	public int size() {
		return this.end - this.first;
	}

	/**
	 * Tells whether this range contains every layer of another range.
	 * @param other the other range
	 * @return {@code true} if no layer of the other range is outside this one
	 */
	public boolean contains(LayerRange other) {
		return this.first <= other.first && other.end <= this.end;
	}

	@Override
	public int compareTo(LayerRange other) {
		int order = Integer.compare(this.first, other.first);
		return (order != 0) ? order : Integer.compare(this.end, other.end);
	}

	@Override
	public String toString() {
		return "[" + this.first + ", " + this.end + ")";
	}

}
