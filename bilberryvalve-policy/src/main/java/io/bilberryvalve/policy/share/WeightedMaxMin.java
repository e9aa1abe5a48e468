package io.bilberryvalve.policy.share;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;

/**
 * Weighted max-min fair division: no claimant gets more than its demand, and the capacity
 * that one claimant does not need is divided among the others in proportion to their
 * weights.
 */
public final class WeightedMaxMin {

	private WeightedMaxMin() {
	}

	/**
	 * Divides a capacity.
	 * @param capacity amount to divide, in any unit; a negative amount counts as 0
	 * @param demands demand of each claimant, not negative
	 * @param weights weight of each claimant, positive
	 * @return the allocation of each claimant; the sum is the smaller of capacity and
	 * total demand, up to rounding
	 */
	public static double[] divide(double capacity, double[] demands, double[] weights) {
		double[] allocation = new double[demands.length];
		double left = Math.max(0, capacity);
		double weightLeft = Arrays.stream(weights).sum();
		int[] order = IntStream.range(0, demands.length)
			.boxed()
			.sorted(Comparator.comparingDouble((Integer i) -> demands[i] / weights[i]))
			.mapToInt(Integer::intValue)
			.toArray();
		for (int i : order) {
			double fair = (weightLeft > 0) ? left * weights[i] / weightLeft : left;
			allocation[i] = Math.min(demands[i], Math.min(fair, left));
			left -= allocation[i];
			weightLeft -= weights[i];
		}
		return allocation;
	}

	/**
	 * Divides whole units in proportion to given parts by the largest-remainder method.
	 * Equal remainders are resolved by position, so that every entry computes the same
	 * result from the same input.
	 * @param parts part of each claimant, not negative
	 * @param units number of units to divide
	 * @return the units of each claimant; the sum is {@code units}, or 0 if all parts are
	 * 0 or {@code units} is negative
	 */
	public static int[] apportion(double[] parts, int units) {
		double sum = Arrays.stream(parts).sum();
		int[] whole = new int[parts.length];
		if (sum <= 0 || units <= 0) {
			return whole;
		}
		double[] remainders = new double[parts.length];
		int given = 0;
		for (int i = 0; i < parts.length; i++) {
			double exact = parts[i] / sum * units;
			whole[i] = (int) exact;
			remainders[i] = exact - whole[i];
			given += whole[i];
		}
		int[] order = IntStream.range(0, parts.length)
			.boxed()
			.sorted(Comparator.comparingDouble((Integer i) -> -remainders[i]))
			.mapToInt(Integer::intValue)
			.toArray();
		for (int i = 0; given < units; i = (i + 1) % order.length) {
			whole[order[i]]++;
			given++;
		}
		return whole;
	}

}
