package io.bilberryvalve.policy.share;

import java.util.Arrays;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class WeightedMaxMinProperties {

	// Guards against capacity that is lost or allocated twice, and against an unfair
	// division, in which a claimant gets less than it needs while another gets more for
	// its weight.
	@Property(seed = "91")
	void dividesAllAndIsMaxMinFair(@ForAll @DoubleRange(max = 1000) double capacity,
			@ForAll @Size(min = 1, max = 12) List<@DoubleRange(max = 500) Double> demandList,
			@ForAll @Size(12) List<@DoubleRange(min = 0.1, max = 50) Double> weightList) {
		double[] demands = demandList.stream().mapToDouble(Double::doubleValue).toArray();
		double[] weights = weightList.stream().limit(demands.length).mapToDouble(Double::doubleValue).toArray();
		double[] shares = WeightedMaxMin.divide(capacity, demands, weights);
		double total = Arrays.stream(demands).sum();
		assertThat(Arrays.stream(shares).sum()).isCloseTo(Math.min(capacity, total), within(1e-6));
		double highest = 0;
		for (int i = 0; i < shares.length; i++) {
			assertThat(shares[i]).isBetween(0.0, demands[i] + 1e-9);
			highest = Math.max(highest, shares[i] / weights[i]);
		}
		for (int i = 0; i < shares.length; i++) {
			if (shares[i] < demands[i] - 1e-6) {
				assertThat(shares[i] / weights[i]).isCloseTo(highest, within(1e-6));
			}
		}
	}

	// Guards against units that are lost or added by rounding.
	@Property(seed = "92")
	void apportionsAllUnits(@ForAll @Size(min = 1, max = 12) List<@DoubleRange(max = 500) Double> partList,
			@ForAll @IntRange(max = 1000) int units) {
		double[] parts = partList.stream().mapToDouble(Double::doubleValue).toArray();
		double sum = Arrays.stream(parts).sum();
		int[] whole = WeightedMaxMin.apportion(parts, units);
		assertThat(Arrays.stream(whole).sum()).isEqualTo((sum > 0) ? units : 0);
		for (int i = 0; i < whole.length && sum > 0; i++) {
			assertThat((double) whole[i]).isCloseTo(parts[i] / sum * units, within(1.0 + 1e-6));
		}
	}

}
