package io.bilberryvalve.policy.chain;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.Link;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class BoundaryChainPlannerProperties {

	private static final ModelVersion MODEL = new ModelVersion(new ModelId("m"), "1");

	private static final int LAYERS = 8;

	private static final ModelShape SHAPE = new ModelShape(MODEL, LAYERS, 100_000);

	private static final LinkTable LINKS = new LinkTable(
			List.of(link("a", "a", 1, 10), link("b", "b", 1, 10), link("a", "b", 20, 1), link("a", "c", 100, 1)));

	private final BoundaryChainPlanner planner = new BoundaryChainPlanner();

	// Guards against a chain that is not the cheapest. Compares the result with every
	// possible chain, for mixed speeds and for link times that differ by a factor of 100.
	@Property(seed = "41", tries = 300)
	void findsTheCheapestChain(@ForAll long seed) {
		List<Candidate> candidates = candidates(new Random(seed), 6);
		double expected = cheapest(candidates, new ArrayList<>(), 0, 0);
		Optional<Chain> found = this.planner.best(SHAPE, candidates, LINKS);
		assertThat(found.isPresent()).isEqualTo(expected < Double.MAX_VALUE);
		found.ifPresent((chain) -> assertThat(chain.seconds()).isCloseTo(expected, within(1e-9)));
	}

	// Guards against a plan that assigns more work to a runner than it can do, or whose
	// total rate exceeds the capacity bound.
	@Property(seed = "42", tries = 300)
	void staysWithinTheCapacityOfEachRunner(@ForAll long seed) {
		List<Candidate> candidates = candidates(new Random(seed), 10);
		List<Chain> chains = this.planner.plan(SHAPE, candidates, LINKS);
		double sum = chains.stream().mapToDouble(Chain::tokensPerSecond).sum();
		assertThat(sum).isLessThanOrEqualTo(CapacityBound.tokensPerSecond(LAYERS, candidates) * (1 + 1e-9));
		for (Candidate candidate : candidates) {
			double used = 0;
			for (Chain chain : chains) {
				for (Stage stage : chain.stages()) {
					boolean same = stage.runner().id().equals(candidate.runner().id());
					used += same ? chain.tokensPerSecond() * stage.layers().size() : 0;
				}
			}
			assertThat(used).isLessThanOrEqualTo(candidate.layersPerSecond() * (1 + 1e-9));
		}
	}

	// Guards against capacity that no chain uses: with aligned stages of mixed speeds the
	// plan must reach the target of 0.97 of the bound.
	@Property(seed = "43", tries = 200)
	void usesTheCapacityOfAlignedStages(@ForAll long seed) {
		Random random = new Random(seed);
		List<Candidate> candidates = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			candidates.add(candidate(i, "abc".substring(i % 3, i % 3 + 1), (i % 2) * 4, (i % 2) * 4 + 4,
					Math.pow(10, 1 + random.nextInt(3)), 0));
		}
		double sum = this.planner.plan(SHAPE, candidates, LINKS).stream().mapToDouble(Chain::tokensPerSecond).sum();
		assertThat(sum).isGreaterThanOrEqualTo(0.97 * CapacityBound.tokensPerSecond(LAYERS, candidates));
	}

	// Guards against a wrong capacity bound in a case that is easy to compute by hand.
	@Example
	void boundIsTheSlowestLayer() {
		List<Candidate> candidates = List.of(candidate(1, "a", 0, 4, 40, 0), candidate(2, "a", 4, 8, 400, 0),
				candidate(3, "a", 0, 8, 80, 0));
		assertThat(CapacityBound.tokensPerSecond(LAYERS, candidates)).isCloseTo(30, within(1e-6));
		assertThat(CapacityBound.tokensPerSecond(LAYERS, candidates.subList(0, 1))).isLessThan(1e-6);
	}

	// Guards against a plan whose first chains all fail with the same runner.
	@Example
	void startsWithChainsThatShareNoRunner() {
		List<Candidate> candidates = List.of(candidate(1, "a", 0, 4, 100, 0), candidate(2, "a", 4, 8, 100, 0),
				candidate(3, "a", 0, 4, 90, 0), candidate(4, "a", 4, 8, 90, 0));
		List<Chain> chains = this.planner.plan(SHAPE, candidates, LINKS);
		List<RunnerId> first = chains.get(0).stages().stream().map((stage) -> stage.runner().id()).toList();
		assertThat(chains.get(1).uses(first)).isFalse();
	}

	// Guards against a repair that changes surviving stages or uses the failed runner.
	@Example
	void repairKeepsSurvivingStages() {
		List<Candidate> candidates = List.of(candidate(1, "a", 0, 4, 100, 0), candidate(2, "a", 4, 8, 100, 0),
				candidate(3, "a", 0, 8, 90, 0), candidate(4, "a", 4, 8, 50, 0));
		ChainSet set = new ChainSet(this.planner.plan(SHAPE, candidates, LINKS), candidates);
		Chain old = new Chain(List.of(new Stage(candidates.get(0).runner(), new LayerRange(0, 4)),
				new Stage(candidates.get(1).runner(), new LayerRange(4, 8))), 0, 1);
		RunnerId failed = candidates.get(1).runner().id();
		RepairPlan plan = new ChainRepair((runner) -> 0).repair(old, Set.of(failed), Set.of(), set).orElseThrow();
		assertThat(plan.chain().first()).isEqualTo(old.first());
		assertThat(plan.chain().uses(List.of(failed))).isFalse();
		assertThat(plan.chain().layers()).isEqualTo(LAYERS);
	}

	private static double cheapest(List<Candidate> candidates, List<Candidate> used, int layer, double cost) {
		if (layer == LAYERS) {
			return cost;
		}
		double best = Double.MAX_VALUE;
		for (Candidate candidate : candidates) {
			LayerRange held = candidate.runner().layers();
			if (used.contains(candidate) || layer < held.first()) {
				continue;
			}
			double link = used.isEmpty() ? 0 : LINKS.seconds(used.get(used.size() - 1).runner().dataCentre(),
					candidate.runner().dataCentre(), SHAPE.activationBytes());
			for (int end = layer + 1; end <= held.end(); end++) {
				List<Candidate> next = new ArrayList<>(used);
				next.add(candidate);
				best = Math.min(best, cheapest(candidates, next, end, cost + link + candidate.seconds(end - layer)));
			}
		}
		return best;
	}

	private static List<Candidate> candidates(Random random, int count) {
		List<Candidate> candidates = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			int first = random.nextInt(LAYERS);
			int end = first + 1 + random.nextInt(LAYERS - first);
			candidates.add(candidate(i, String.valueOf((char) ('a' + random.nextInt(3))), (i == 0) ? 0 : first,
					(i == 1) ? LAYERS : end, Math.pow(10, 1 + 2 * random.nextDouble()), random.nextDouble() / 10));
		}
		return candidates;
	}

	private static Candidate candidate(int number, String centre, int first, int end, double rate, double queue) {
		Runner runner = new Runner(new RunnerId("r" + number), new Address("127.0.0.1", 1 + number),
				new DataCentreId(centre), new AcceleratorKind("k"), MODEL, new LayerRange(first, end), true, null);
		return new Candidate(runner, rate, queue);
	}

	private static Link link(String from, String to, int tenthMillis, int megabytes) {
		return new Link(new DataCentreId(from), new DataCentreId(to), Duration.ofNanos(tenthMillis * 100_000L),
				megabytes * 1_000_000L);
	}

}
