package io.bilberryvalve.policy.path;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.placement.Card;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.placement.LayerAssigner;
import io.bilberryvalve.policy.placement.TemplateSearch;
import io.bilberryvalve.policy.placement.TestCards;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class PathChooserTests {

	private static final RequestSize TYPICAL = new RequestSize(772, 172);

	private final EngineProfile profile = TestCards.profile();

	private final PathChooser chooser = new PathChooser(this.profile);

	private final SimpleLoads loads = new SimpleLoads();

	// Guards against a choice that fails for all requests because of one runner with an
	// impossible range of layers or an impossible load.
	@Property(seed = "190504", tries = 300)
	void impossibleRangesAndLoadsDoNotEndTheChoice(@ForAll @IntRange(min = 0, max = 100000) int seed) {
		Random random = new Random(seed);
		int[] bounds = { 0, 1, 7, TestCards.LAYERS - 1, TestCards.LAYERS, TestCards.LAYERS + 1, Integer.MAX_VALUE - 1,
				Integer.MAX_VALUE };
		long[] numbers = { Long.MIN_VALUE, Integer.MIN_VALUE, -1, 0, 1, Integer.MAX_VALUE, Long.MAX_VALUE };
		List<LayerHolder> holders = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			int first = random.nextInt(bounds.length - 1);
			int end = first + 1 + random.nextInt(bounds.length - 1 - first);
			holders.add(holder("odd" + i, "a", bounds[first], bounds[end]));
		}
		holders.add(holder("start", "a", 0, 40));
		holders.add(holder("end", "a", 40, TestCards.LAYERS));
		LoadSource odd = (runner) -> runner.value().startsWith("odd")
				? new RunnerLoad((int) numbers[random.nextInt(numbers.length)], numbers[random.nextInt(numbers.length)],
						(int) numbers[random.nextInt(numbers.length)], numbers[random.nextInt(numbers.length)])
				: RunnerLoad.NONE;
		assertThat(this.chooser.choose(holders, odd, TYPICAL, (runner) -> true)).isPresent();
		assertThat(this.chooser.choose(holders, odd, new RequestSize(Integer.MAX_VALUE, Integer.MAX_VALUE),
				(runner) -> runner.value().startsWith("odd")))
			.satisfiesAnyOf((path) -> assertThat(path).isEmpty(), (path) -> assertThat(path.orElseThrow().hops()).last()
				.satisfies((hop) -> assertThat(hop.layers().end()).isEqualTo(TestCards.LAYERS)));
	}

	// Guards against tokens that miss a layer or pass one twice, and against paths that
	// return to a runner, which the runner refuses.
	@Property(seed = "23", tries = 200)
	void pathPassesEachLayerOnceAndNoRunnerTwice(@ForAll @IntRange(min = 0, max = 100000) int seed) {
		Random random = new Random(seed);
		List<LayerHolder> holders = new ArrayList<>();
		for (int i = 0; i < 30; i++) {
			int first = random.nextInt(TestCards.LAYERS - 1);
			int end = Math.min(TestCards.LAYERS, first + 1 + random.nextInt(30));
			holders.add(holder("r" + i, TestCards.DATA_CENTRES.get(random.nextInt(3)), first, end));
		}
		holders.add(holder("start", "a", 0, 10));
		Map<RunnerId, LayerRange> held = holders.stream()
			.collect(Collectors.toMap(LayerHolder::runner, LayerHolder::layers));
		this.chooser.choose(holders, this.loads, TYPICAL, (runner) -> true).ifPresent((path) -> {
			Set<RunnerId> seen = new HashSet<>();
			int next = 0;
			for (LayerPath.Hop hop : path.hops()) {
				assertThat(hop.layers().first()).isEqualTo(next);
				assertThat(held.get(hop.runner()).contains(hop.layers())).isTrue();
				assertThat(seen.add(hop.runner())).isTrue();
				next = hop.layers().end();
			}
			assertThat(next).isEqualTo(TestCards.LAYERS);
		});
	}

	private LayerHolder holder(String name, String dataCentre, int first, int end) {
		return new LayerHolder(new RunnerId(name), new LayerRange(first, end), new DataCentreId(dataCentre),
				this.profile.cards().get("large"), 1);
	}

	// Guards against a copy of the model that no request can use because two ranges
	// overlap.
	@Example
	void overlappingRangesAreUsedInParts() {
		List<LayerHolder> holders = List.of(holder("x", "a", 0, 30), holder("y", "a", 20, 60),
				holder("z", "a", 50, 80));
		Optional<LayerPath> path = this.chooser.choose(holders, this.loads, TYPICAL, (runner) -> true);
		assertThat(path).isPresent();
		assertThat(path.get().hops()).hasSize(3);
	}

	// A burst of requests that do not end: the fast copy fills up, then the others, and
	// no runner gets more tokens than fit into its memory.
	@Example
	void burstOverflowsToSlowerCopiesWithinTheMemory() {
		List<LayerHolder> holders = placed();
		Map<DataCentreId, Integer> byDataCentre = new HashMap<>();
		int taken = 0;
		Optional<LayerPath> path = this.chooser.choose(holders, this.loads, TYPICAL, (runner) -> true);
		while (path.isPresent() && taken < 1000) {
			taken++;
			this.loads.add(path.get(), holders);
			byDataCentre.merge(dataCentre(path.get().firstRunner(), holders), 1, Integer::sum);
			path = this.chooser.choose(holders, this.loads, TYPICAL, (runner) -> true);
		}
		assertThat(taken).isBetween(200, 999);
		assertThat(byDataCentre).hasSize(3);
		for (LayerHolder holder : holders) {
			long capacity = (long) this.profile.tokenCapacity(holder.card(), holder.layers().size())
					* holder.layers().size();
			assertThat(this.loads.of(holder.runner()).tokenLayers()).isLessThanOrEqualTo(capacity);
		}
	}

	// Guards against one copy that serves most streams under normal load: all of them
	// would break at once when it loses a card.
	@Example
	void streamsAreSpreadEvenlyOverTheCopies() {
		List<LayerHolder> holders = placed();
		Map<DataCentreId, Integer> byDataCentre = new HashMap<>();
		int streams = 120;
		for (int i = 0; i < streams; i++) {
			LayerPath path = this.chooser.choose(holders, this.loads, TYPICAL, (runner) -> true).orElseThrow();
			this.loads.add(path, holders);
			byDataCentre.merge(dataCentre(path.firstRunner(), holders), 1, Integer::sum);
		}
		assertThat(byDataCentre).hasSize(TestCards.DATA_CENTRES.size());
		assertThat(byDataCentre.values()).allMatch((count) -> count <= streams / 2);
	}

	// Guards against streams that are slowed to one event in 150 ms by prompts on the
	// links between data centres.
	@Example
	void pathStaysInOneDataCentreWhileItHasMemory() {
		List<LayerHolder> holders = placed();
		for (int i = 0; i < 100; i++) {
			LayerPath path = this.chooser.choose(holders, this.loads, TYPICAL, (runner) -> true).orElseThrow();
			Set<DataCentreId> passed = path.hops()
				.stream()
				.map((hop) -> dataCentre(hop.runner(), holders))
				.collect(Collectors.toSet());
			assertThat(passed).hasSize(1);
			this.loads.add(path, holders);
		}
	}

	// Guards against requests on a path that contains a runner known to be dead.
	@Example
	void excludedRunnerIsNotUsed() {
		List<LayerHolder> holders = placed();
		RunnerId first = this.chooser.choose(holders, this.loads, TYPICAL, (runner) -> true)
			.orElseThrow()
			.firstRunner();
		LayerPath other = this.chooser.choose(holders, this.loads, TYPICAL, (runner) -> !runner.equals(first))
			.orElseThrow();
		assertThat(other.hops()).noneMatch((hop) -> hop.runner().equals(first));
	}

	private List<LayerHolder> placed() {
		List<Card> cards = TestCards.apply(TestCards.all(),
				new LayerAssigner(new TemplateSearch(this.profile, TestCards.all()).best()).assign(TestCards.all()));
		List<LayerHolder> holders = new ArrayList<>();
		for (Card card : cards) {
			LayerRange held = card.held();
			if (held != null) {
				holders.add(new LayerHolder(card.runner(), held, card.dataCentre(), card.kind(), 1));
			}
		}
		return holders;
	}

	private static DataCentreId dataCentre(RunnerId runner, List<LayerHolder> holders) {
		return holders.stream()
			.filter((holder) -> holder.runner().equals(runner))
			.map(LayerHolder::dataCentre)
			.findFirst()
			.orElseThrow();
	}

	/** Loads that a test sets. */
	private static final class SimpleLoads implements LoadSource {

		private final Map<RunnerId, RunnerLoad> loads = new HashMap<>();

		void add(LayerPath path, List<LayerHolder> holders) {
			for (LayerPath.Hop hop : path.hops()) {
				int entered = hop.runner().equals(path.firstRunner()) ? 1 : 0;
				add(hop.runner(), new RunnerLoad(1, (long) TYPICAL.totalTokens() * hop.layers().size(), entered, 0));
			}
			for (int i = 1; i < path.hops().size(); i++) {
				DataCentreId from = dataCentre(path.hops().get(i - 1).runner(), holders);
				DataCentreId to = dataCentre(path.hops().get(i).runner(), holders);
				if (!from.equals(to)) {
					add(LoadSource.linkId(from, to), new RunnerLoad(1, 0, 0, 0));
				}
			}
		}

		private void add(RunnerId runner, RunnerLoad load) {
			this.loads.merge(runner, load, RunnerLoad::plus);
		}

		@Override
		public RunnerLoad of(RunnerId runner) {
			return this.loads.getOrDefault(runner, RunnerLoad.NONE);
		}

	}

}
