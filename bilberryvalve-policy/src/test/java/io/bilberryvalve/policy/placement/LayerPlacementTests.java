package io.bilberryvalve.policy.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class LayerPlacementTests {

	/** The template with the highest throughput while no card is lost. */
	private static final LayerTemplate FASTEST = new LayerTemplate(TestCards.LAYERS,
			Map.of("large", 24, "medium", 12, "small", 7, "tiny", 4), 0);

	private final EngineProfile profile = TestCards.profile();

	private final LayerTemplate template = new TemplateSearch(this.profile, TestCards.all()).best();

	private final LayerAssigner assigner = new LayerAssigner(this.template);

	// Guards against paths that cross data centres: a link carries only about 26,000
	// tokens/s.
	@Example
	void eachDataCentreGetsAWholeCopy() {
		List<Card> placed = TestCards.apply(TestCards.all(), this.assigner.assign(TestCards.all()));
		for (String dataCentre : TestCards.DATA_CENTRES) {
			assertThat(TestCards.copies(placed, dataCentre)).isPositive();
		}
	}

	// Guards against fast cards with many layers and little memory for requests: such a
	// template served an estimated 74 requests/s, a balanced one 139.
	@Example
	void memoryForRequestsIsBalancedOverTheKindsOfCards() {
		LayerTemplate fastest = new TemplateSearch(this.profile, TestCards.all()).highestThroughput();
		assertThat(fastest.requestsPerSecond()).isGreaterThan(100);
		for (LayerTemplate each : List.of(fastest, this.template)) {
			List<Integer> capacities = each.maxLayersByKind()
				.entrySet()
				.stream()
				.map((entry) -> this.profile.tokenCapacity(this.profile.cards().get(entry.getKey()), entry.getValue()))
				.toList();
			int least = capacities.stream().mapToInt((capacity) -> capacity).min().orElseThrow();
			int most = capacities.stream().mapToInt((capacity) -> capacity).max().orElseThrow();
			assertThat(most).isLessThan(2 * least);
		}
	}

	// Cards are lost one after the other. Under the template with the highest throughput,
	// each loss stops a whole data centre; the chosen template must serve more.
	@Example
	void templateServesMoreAfterLossesThanTheOneWithTheHighestThroughput() {
		LossEstimate fastest = estimate(FASTEST);
		LossEstimate chosen = estimate(this.template);
		double demand = fastest.intact() / 2;
		assertThat(chosen.intact()).isGreaterThan(demand);
		assertThat(chosen.remaining(demand)).isGreaterThan(fastest.remaining(demand));
		for (String dataCentre : TestCards.DATA_CENTRES) {
			List<Card> placed = TestCards.apply(TestCards.all(), this.assigner.assign(TestCards.all()));
			double held = placed.stream()
				.filter((card) -> card.dataCentre().value().equals(dataCentre) && card.held() != null)
				.mapToInt((card) -> card.held().size())
				.sum();
			assertThat(held / TestCards.LAYERS).as("copies in %s", dataCentre).isGreaterThan(1.1);
		}
	}

	private LossEstimate estimate(LayerTemplate template) {
		return new LossEstimate(this.profile, template, TestCards.all());
	}

	// Guards against orders that crash a runner because the layers do not fit into its
	// memory.
	@Property(seed = "17", tries = 40)
	void noCardGetsMoreLayersThanItsMemoryHolds(@ForAll @IntRange(min = 0, max = 1000) int seed) {
		Random random = new Random(seed);
		List<Card> cards = new ArrayList<>(TestCards.apply(TestCards.all(), this.assigner.assign(TestCards.all())));
		for (int i = 0; i < 12; i++) {
			cards.remove(random.nextInt(cards.size()));
		}
		DataCentreId dataCentre = new DataCentreId(TestCards.DATA_CENTRES.get(random.nextInt(3)));
		List<LayerAssigner.Assignment> orders = new ArrayList<>(this.assigner.assign(cards));
		orders.addAll(new Rebalancer(this.profile, this.template).rebalance(cards, dataCentre));
		for (LayerAssigner.Assignment order : orders) {
			assertThat(this.profile.tokenCapacity(order.card().kind(), order.range().size())).isPositive();
		}
	}

	// Guards against a copy that stays incomplete after the loss of a card although the
	// data centre has a spare card.
	@Example
	void spareCardMovesToTheGap() {
		List<Card> placed = TestCards.apply(TestCards.all(), this.assigner.assign(TestCards.all()));
		List<Card> left = new ArrayList<>(placed);
		Card lost = left.stream().filter((card) -> isOnlyHolder(card, placed)).findFirst().orElseThrow();
		left.remove(lost);
		List<Card> now = left;
		for (int i = 0; i < 8 && TestCards.copies(now, lost.dataCentre().value()) == 0; i++) {
			now = TestCards.apply(now, this.assigner.assign(now));
		}
		assertThat(TestCards.copies(now, lost.dataCentre().value())).isPositive();
	}

	private static boolean isOnlyHolder(Card card, List<Card> cards) {
		LayerRange held = card.held();
		return held != null && card.kind().name().equals("tiny") && card.dataCentre().value().equals("b")
				&& new Coverage(TestCards.LAYERS, cards).minHolders(card.dataCentre(), held) == 1;
	}

	// Guards against a data centre that serves nothing after it has lost two cards
	// permanently and has no spare card.
	@Example
	void remainingCardsOfADataCentreTakeMoreLayers() {
		List<Card> cards = new ArrayList<>(TestCards.apply(TestCards.all(), this.assigner.assign(TestCards.all())));
		cards.removeIf((card) -> card.runner().value().equals("a-small-0") || card.runner().value().equals("a-tiny-1"));
		List<LayerAssigner.Assignment> orders = new Rebalancer(this.profile, this.template).rebalance(cards,
				new DataCentreId("a"));
		assertThat(TestCards.copies(TestCards.apply(cards, orders), "a")).isPositive();
	}

	// Guards against a data centre without a whole copy for seconds: cards next to a
	// small gap load it and drop nothing.
	@Example
	void smallGapIsClosedByTheCardsNextToIt() {
		List<Card> cards = new ArrayList<>(
				TestCards.apply(TestCards.all(), new LayerAssigner(FASTEST).assign(TestCards.all())));
		Card lost = cards.stream()
			.filter((card) -> card.dataCentre().value().equals("a") && isBetweenTiny(card, cards))
			.findFirst()
			.orElseThrow();
		cards.remove(lost);
		List<LayerAssigner.Assignment> orders = new GapFiller(this.profile, FASTEST).fill(cards, new DataCentreId("a"));
		assertThat(orders).hasSizeLessThanOrEqualTo(2).allMatch((order) -> order.range().contains(order.card().held()));
		assertThat(TestCards.copies(TestCards.apply(cards, orders), "a")).isPositive();
	}

	// Another card holds a part of the range of a fast card. It moves to the gap and
	// keeps the layers that only it holds, so that the cards need not all move, which
	// takes ten seconds.
	@Example
	void cardThatIsPartlySpareLoadsTheGap() {
		List<Card> cards = new ArrayList<>();
		cards.add(card("large", 0, 24));
		cards.add(card("medium", 14, 26));
		cards.add(card("small", 33, 40));
		List<LayerAssigner.Assignment> orders = new GapFiller(this.profile, FASTEST).fill(cards, new DataCentreId("a"));
		assertThat(orders).hasSize(1);
		assertThat(orders.get(0).card().kind().name()).isEqualTo("medium");
		assertThat(orders.get(0).range()).isEqualTo(new LayerRange(24, 33));
	}

	// Guards against orders to a card that refuses them because it is still carrying out
	// another one.
	@Example
	void busyCardsGetNoOrder() {
		List<Card> busy = TestCards.apply(TestCards.all(), this.assigner.assign(TestCards.all()))
			.stream()
			.filter((card) -> !card.runner().value().equals("a-tiny-1"))
			.map((card) -> new Card(card.runner(), card.dataCentre(), card.kind(), card.held(), true))
			.toList();
		DataCentreId here = new DataCentreId("a");
		assertThat(this.assigner.assign(busy)).isEmpty();
		assertThat(new GapFiller(this.profile, FASTEST).fill(busy, here)).isEmpty();
		assertThat(new Rebalancer(this.profile, this.template).rebalance(busy, here)).isEmpty();
	}

	private Card card(String kind, int first, int end) {
		return new Card(new RunnerId(kind), new DataCentreId("a"), this.profile.cards().get(kind),
				new LayerRange(first, end), false);
	}

	private static boolean isBetweenTiny(Card card, List<Card> cards) {
		LayerRange held = card.held();
		if (held == null || !card.kind().name().equals("tiny")) {
			return false;
		}
		List<LayerRange> tiny = cards.stream()
			.filter((other) -> other.dataCentre().equals(card.dataCentre()) && other.kind().equals(card.kind()))
			.map(Card::held)
			.toList();
		return tiny.stream().anyMatch((range) -> range.end() == held.first())
				&& tiny.stream().anyMatch((range) -> range.first() == held.end());
	}

	// Cards are lost in all data centres, so that none is complete: the one that lacks
	// the fewest layers is repaired first.
	@Example
	void dataCentreThatLacksTheFewestLayersIsRepairedFirst() {
		List<Card> cards = new ArrayList<>(TestCards.apply(TestCards.all(), this.assigner.assign(TestCards.all())));
		for (String lost : List.of("a-tiny-1", "a-small-0", "b-large-0", "c-small-1", "c-small-2", "c-small-3")) {
			cards.removeIf((card) -> card.runner().value().equals(lost));
		}
		assertThat(TestCards.DATA_CENTRES).allMatch((dataCentre) -> TestCards.copies(cards, dataCentre) == 0);
		DataCentreId first = this.assigner.incompleteDataCentres(cards).get(0);
		Coverage coverage = new Coverage(TestCards.LAYERS, cards);
		assertThat(TestCards.DATA_CENTRES).allMatch(
				(dataCentre) -> coverage.missingLayers(first) <= coverage.missingLayers(new DataCentreId(dataCentre)));
		List<Card> repaired = TestCards.apply(cards,
				new Rebalancer(this.profile, this.template).rebalance(cards, first));
		assertThat(TestCards.copies(repaired, first.value())).isPositive();
		assertThat(this.assigner.incompleteDataCentres(repaired)).doesNotContain(first);
	}

	// Guards against endless orders for a data centre that cannot hold the model.
	@Example
	void dataCentreWithTooFewCardsIsLeftAlone() {
		List<Card> cards = TestCards.all().stream().filter((card) -> card.kind().name().equals("tiny")).toList();
		assertThat(new Rebalancer(this.profile, this.template).rebalance(cards, new DataCentreId("c"))).isEmpty();
	}

	// Guards against cards that move although nothing has changed: each move drops layers
	// in use.
	@Example
	void completePlacementStaysAsItIs() {
		List<Card> placed = TestCards.apply(TestCards.all(), this.assigner.assign(TestCards.all()));
		assertThat(this.assigner.assign(placed)).isEmpty();
		assertThat(this.assigner.incompleteDataCentres(placed)).isEmpty();
	}

}
