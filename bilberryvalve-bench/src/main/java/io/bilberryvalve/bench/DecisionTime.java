package io.bilberryvalve.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import io.bilberryvalve.bench.served.ServedFederation;
import io.bilberryvalve.policy.chain.BalancedChainPlanner;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.ChainSet;

/**
 * Time of a chain choice on the path of a request and of a plan in the background, by the
 * number of runners.
 */
final class DecisionTime implements Experiment {

	private static final int[] SIZES = { 40, 80, 160, 345 };

	private static final int CHOICES = 200_000;

	private static final int DATA_CENTRES = 11;

	private static final double NANOS_PER_SECOND = 1e9;

	@Override
	public String name() {
		return "decision";
	}

	@Override
	public List<Figure> run(List<Long> seeds) {
		List<Figure> figures = new ArrayList<>();
		for (int size : SIZES) {
			double[] choices = new double[seeds.size()];
			double[] plans = new double[seeds.size()];
			for (int i = 0; i < choices.length; i++) {
				ServedFederation federation = ServedFederation.generate(size, DATA_CENTRES, seeds.get(i));
				long start = System.nanoTime();
				List<Chain> chains = new BalancedChainPlanner().plan(federation.model(), federation.candidates(),
						federation.links());
				plans[i] = (System.nanoTime() - start) / NANOS_PER_SECOND;
				choices[i] = choiceNanos(new ChainSet(chains, federation.candidates()), seeds.get(i));
			}
			figures.add(Figure.of("decision_choice_runners_" + size, Median.of(choices), "ns",
					"one weighted choice among the planned chains"));
			figures.add(Figure.of("decision_plan_runners_" + size, Median.of(plans), "s",
					"one plan of all runners of a model, outside the request path"));
		}
		return figures;
	}

	private static double choiceNanos(ChainSet set, long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		long sum = 0;
		for (int i = 0; i < CHOICES; i++) {
			sum += set.sample(random.nextDouble());
		}
		long start = System.nanoTime();
		for (int i = 0; i < CHOICES; i++) {
			sum += set.sample(random.nextDouble());
		}
		double nanos = (double) (System.nanoTime() - start) / CHOICES;
		if (sum < 0) {
			throw new IllegalStateException("positions must not be negative");
		}
		return nanos;
	}

}
