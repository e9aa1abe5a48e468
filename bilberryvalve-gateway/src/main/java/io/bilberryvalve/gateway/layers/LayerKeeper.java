package io.bilberryvalve.gateway.layers;

import java.time.Clock;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.bilberryvalve.gateway.fleet.Fleet;
import io.bilberryvalve.gateway.fleet.FleetBoard;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.lease.LeaseManager;
import io.bilberryvalve.policy.lease.LeaseHolder;
import io.bilberryvalve.policy.placement.Card;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.placement.GapFiller;
import io.bilberryvalve.policy.placement.LayerAssigner;
import io.bilberryvalve.policy.placement.LayerTemplate;
import io.bilberryvalve.policy.placement.Rebalancer;

/**
 * Places the layers of models on runners, on the one daemon that holds the lease. The
 * widths of the ranges are kept in the store; everything else follows from what the
 * runners hold, so that another daemon can continue at any point.
 */
public final class LayerKeeper {

	private static final System.Logger LOGGER = System.getLogger(LayerKeeper.class.getName());

	/** A card that crashed is often back, and empty, within this time of its removal. */
	private static final long MEND_AFTER_MILLIS = 1200;

	private final FleetBoard board;

	private final TableService tables;

	private final LeaseManager lease;

	private final Clock clock;

	private final Duration heartbeat;

	private final OrderBook orders;

	private final Predicate<ListedRunner> lost;

	private final Map<String, TemplateKeeper> templates = new HashMap<>();

	private final Map<Lack, Long> incompleteSince = new HashMap<>();

	private boolean held;

	/**
	 * Creates a keeper.
	 * @param board the runners
	 * @param orders sends orders
	 * @param tables keeps the templates
	 * @param lease permits one daemon to order
	 * @param clock monotonic clock
	 * @param heartbeat interval at which runners renew their entries
	 * @param lost tells which runners are dead or cut off though they are still listed
	 */
	public LayerKeeper(FleetBoard board, LayerOrders orders, TableService tables, LeaseManager lease, Clock clock,
			Duration heartbeat, Predicate<ListedRunner> lost) {
		this.board = board;
		this.orders = new OrderBook(orders, clock);
		this.tables = tables;
		this.lease = lease;
		this.clock = clock;
		this.heartbeat = heartbeat;
		this.lost = lost;
	}

	/**
	 * Does what is due. Call it a few times a second, always from the same thread.
	 * @param table the configuration in force
	 * @param leads whether this daemon should take the lease
	 * @param leaving whether this daemon gives the lease up
	 * @return runners that were ordered to give up layers with which they are still
	 * listed
	 */
	public Set<RunnerId> tick(RouteTable table, boolean leads, boolean leaving) {
		Optional<LeaseHolder.Grant> grant = this.lease.grant();
		if (grant.isPresent() != this.held) {
			this.held = grant.isPresent();
			LogEvent.of(this.held ? "layer-lease-gained" : "layer-lease-lost")
				.with("fencing", grant.map((now) -> now.fencing().value()).orElse(null))
				.log(LOGGER, System.Logger.Level.INFO);
		}
		this.lease.tick(!leaving && (leads || this.held));
		if (grant.isEmpty()) {
			return Set.of();
		}
		Fleet fleet = this.board.fleet();
		this.orders.retain(fleet.all());
		for (Service service : table.services()) {
			EngineProfile engine = service.engine();
			if (engine != null) {
				keep(service.name(), engine, fleet.of(service.name()), grant.get());
			}
		}
		return this.orders.changing(fleet.all());
	}

	private void keep(String service, EngineProfile engine, List<ListedRunner> runners, LeaseHolder.Grant grant) {
		List<Card> cards = runners.stream()
			.filter((runner) -> !runner.leaving() && this.orders.fit(runner.id()))
			.filter((runner) -> engine.cards().containsKey(runner.card()))
			.map((runner) -> this.orders.card(runner, Objects.requireNonNull(engine.cards().get(runner.card()))))
			.toList();
		Optional<LayerTemplate> template = this.templates
			.computeIfAbsent(service, (name) -> new TemplateKeeper(name, this.tables, this.clock, this.heartbeat))
			.template(engine, cards);
		if (template.isEmpty()) {
			return;
		}
		Set<RunnerId> gone = runners.stream().filter(this.lost).map(ListedRunner::id).collect(Collectors.toSet());
		for (LayerAssigner.Assignment assignment : assignments(service, engine, template.get(), cards, gone)) {
			runners.stream()
				.filter((runner) -> runner.id().equals(assignment.card().runner()))
				.forEach((runner) -> this.orders.order(runner, assignment.range(), engine, grant));
		}
	}

	// Spare cards take the place of lost ones at once. What moves other cards waits for
	// the
	// list, since a card that was only cut off for a while comes back with its layers.
	private List<LayerAssigner.Assignment> assignments(String service, EngineProfile engine, LayerTemplate template,
			Collection<Card> cards, Set<RunnerId> gone) {
		LayerAssigner assigner = new LayerAssigner(template);
		List<LayerAssigner.Assignment> assigned = assigner
			.assign(cards.stream().filter((card) -> !gone.contains(card.runner())).toList());
		return assigned.isEmpty() ? mend(due(service, assigner.incomplete(cards)), engine, template, cards) : assigned;
	}

	// Data centres that have lacked layers for a while, the one that lacks the fewest
	// first.
	private List<DataCentreId> due(String service, List<DataCentreId> incomplete) {
		long now = this.clock.millis();
		this.incompleteSince.keySet()
			.removeIf((lack) -> lack.service.equals(service) && !incomplete.contains(lack.dataCentre));
		return incomplete.stream()
			.filter((dataCentre) -> now - this.incompleteSince.computeIfAbsent(new Lack(service, dataCentre),
					(lack) -> now) >= MEND_AFTER_MILLIS)
			.toList();
	}

	private static List<LayerAssigner.Assignment> mend(List<DataCentreId> due, EngineProfile engine,
			LayerTemplate template, Collection<Card> cards) {
		GapFiller filler = new GapFiller(engine, template);
		for (DataCentreId dataCentre : due) {
			List<LayerAssigner.Assignment> filled = filler.fill(cards, dataCentre);
			if (!filled.isEmpty()) {
				return filled;
			}
		}
		// A data centre that spreads its layers serves nothing for seconds, so one does
		// at a time.
		return due.stream()
			.filter((dataCentre) -> cards.stream()
				.noneMatch((card) -> card.busy() && !card.dataCentre().equals(dataCentre)))
			.findFirst()
			.map((dataCentre) -> new Rebalancer(engine, template).rebalance(cards, dataCentre))
			.orElse(List.of());
	}

	/**
	 * A data centre that lacks layers of a service.
	 *
	 * @param service name of the service
	 * @param dataCentre the data centre
	 */
	private record Lack(String service, DataCentreId dataCentre) {

	}

}
