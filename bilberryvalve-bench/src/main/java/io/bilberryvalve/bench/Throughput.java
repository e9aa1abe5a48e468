package io.bilberryvalve.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.bilberryvalve.bench.served.ServedFederation;
import io.bilberryvalve.bench.served.ServedRunner;
import io.bilberryvalve.bench.served.ServedStream;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.BalancedChainPlanner;
import io.bilberryvalve.policy.chain.BoundaryChainPlanner;
import io.bilberryvalve.policy.chain.CapacityBound;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.ChainPlanner;
import io.bilberryvalve.policy.chain.ChainSet;

/**
 * Delivered tokens in proportion to the smaller of the offered load and the bound of the
 * runners, at several loads, with simple choices as baselines.
 */
final class Throughput implements Experiment {

	private static final double[] LOADS = { 0.5, 1, 2, 10 };

	private static final int RUNNERS = 40;

	private static final int DATA_CENTRES = 3;

	private static final int TOKENS = 64;

	private static final double WARM_UP_SECONDS = 40;

	private static final double END_SECONDS = 140;

	/** Streams in progress beyond which a request is refused at once. */
	private static final int STREAMS_PER_CHAIN = 48;

	@Override
	public String name() {
		return "throughput";
	}

	@Override
	public List<Figure> run(List<Long> seeds) {
		List<Figure> figures = new ArrayList<>();
		figures.add(new Figure("throughput_plan_ratio",
				Median.over(seeds, (seed) -> planRatio(seed, new BalancedChainPlanner())), "ratio",
				Median.over(seeds, (seed) -> planRatio(seed, new BoundaryChainPlanner())),
				"planned rate over the bound; baseline: planner without prices"));
		for (double load : LOADS) {
			String suffix = "_load_" + ((load < 1) ? "0.5" : Integer.toString((int) load));
			double less = Median.over(seeds, (seed) -> ratio(seed, load, Choice.LESS_LOADED));
			for (Choice baseline : List.of(Choice.PLANNED, Choice.UNIFORM, Choice.BEST_ONLY)) {
				figures.add(new Figure("throughput_ratio" + suffix, less, "ratio",
						Median.over(seeds, (seed) -> ratio(seed, load, baseline)),
						"less loaded of two planned chains; baseline: " + baseline.text));
			}
		}
		return figures;
	}

	private static double planRatio(long seed, ChainPlanner planner) {
		ServedFederation federation = ServedFederation.generate(RUNNERS, DATA_CENTRES, seed);
		List<Chain> chains = planner.plan(federation.model(), federation.candidates(), federation.links());
		double bound = CapacityBound.tokensPerSecond(ServedFederation.LAYERS, federation.candidates());
		return new ChainSet(chains, federation.candidates()).tokensPerSecond() / bound;
	}

	private static double ratio(long seed, double load, Choice choice) {
		ServedFederation federation = ServedFederation.generate(RUNNERS, DATA_CENTRES, seed);
		List<Chain> chains = new BalancedChainPlanner().plan(federation.model(), federation.candidates(),
				federation.links());
		double bound = CapacityBound.tokensPerSecond(ServedFederation.LAYERS, federation.candidates());
		Run run = new Run(federation, new ChainSet(chains, federation.candidates()), choice, seed);
		run.offer(load * bound);
		run.loop.runUntil(WARM_UP_SECONDS);
		long before = run.tokens;
		long offeredBefore = run.offered;
		run.loop.runUntil(END_SECONDS);
		double seconds = END_SECONDS - WARM_UP_SECONDS;
		double offered = (run.offered - offeredBefore) / seconds;
		return (run.tokens - before) / seconds / Math.min(offered, bound);
	}

	/**
	 * How a chain is chosen.
	 */
	private enum Choice {

		/** In proportion to the planned rates. */
		PLANNED("one planned chain by its rate"),

		/** With equal probability. */
		UNIFORM("uniform choice among the planned chains"),

		/** Always the first chain. */
		BEST_ONLY("the chain of least latency alone"),

		/** The less loaded of two chains sampled in proportion to the planned rates. */
		LESS_LOADED("less loaded of two planned chains");

		private final String text;

		Choice(String text) {
			this.text = text;
		}

	}

	/**
	 * One run with Poisson arrivals.
	 */
	private static final class Run {

		private final EventLoop loop = new EventLoop();

		private final Map<RunnerId, ServedRunner> runners = new HashMap<>();

		private final ServedFederation federation;

		private final ChainSet set;

		private final Choice choice;

		private final SplittableRandom random;

		private final int[] active;

		private long tokens;

		private long offered;

		Run(ServedFederation federation, ChainSet set, Choice choice, long seed) {
			this.federation = federation;
			this.set = set;
			this.choice = choice;
			this.random = new SplittableRandom(seed + 1);
			this.active = new int[set.size()];
			federation.speeds().forEach((id, speed) -> this.runners.put(id, new ServedRunner(this.loop, speed)));
		}

		void offer(double tokensPerSecond) {
			double gap = -Math.log(1 - this.random.nextDouble()) * TOKENS / tokensPerSecond;
			this.loop.after(gap, () -> {
				arrive();
				offer(tokensPerSecond);
			});
		}

		private int lessLoaded() {
			int one = this.set.sample(this.random.nextDouble());
			int two = this.set.sample(this.random.nextDouble());
			return (load(one) <= load(two)) ? one : two;
		}

		private double load(int index) {
			return this.active[index] / this.set.chain(index).tokensPerSecond();
		}

		private void arrive() {
			this.offered += TOKENS;
			int index = switch (this.choice) {
				case PLANNED -> this.set.sample(this.random.nextDouble());
				case UNIFORM -> this.random.nextInt(this.set.size());
				case BEST_ONLY -> 0;
				case LESS_LOADED -> lessLoaded();
			};
			if (this.active[index] >= STREAMS_PER_CHAIN) {
				return;
			}
			this.active[index]++;
			new ServedStream(this.loop, this.runners, this.federation.links(), this.set.chain(index),
					this.federation.model().activationBytes(), TOKENS, (last) -> {
						this.tokens++;
						if (last) {
							this.active[index]--;
						}
					})
				.start(1);
		}

	}

}
