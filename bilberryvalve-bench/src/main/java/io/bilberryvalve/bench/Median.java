package io.bilberryvalve.bench;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Computes medians and percentiles.
 */
public final class Median {

	private static final double HUNDRED = 100.0;

	private Median() {
	}

	/**
	 * Returns the median of a value over seeds.
	 * @param seeds the seeds
	 * @param value computes the value for a seed
	 * @return the median; the mean of the middle two for an even number
	 */
	public static double over(List<Long> seeds, ToDoubleFunction<Long> value) {
		return of(seeds.stream().mapToDouble(value).toArray());
	}

	/**
	 * Returns the median.
	 * @param values at least one value
	 * @return the median
	 */
	public static double of(double... values) {
		double[] sorted = values.clone();
		Arrays.sort(sorted);
		int middle = sorted.length / 2;
		return (sorted.length % 2 == 1) ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
	}

	/**
	 * Returns a percentile by the nearest rank.
	 * @param values at least one value
	 * @param percent percentile, above 0 and at most 100
	 * @return the value at the rank
	 */
	public static double percentile(double[] values, double percent) {
		double[] sorted = values.clone();
		Arrays.sort(sorted);
		int rank = (int) Math.ceil(percent / HUNDRED * sorted.length);
		return sorted[Math.max(0, rank - 1)];
	}

}
