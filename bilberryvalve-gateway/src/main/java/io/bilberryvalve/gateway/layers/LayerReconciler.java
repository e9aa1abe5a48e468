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
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.FleetSnapshot;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.lease.LeaseManager;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import io.bilberryvalve.policy.placement.Card;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.placement.GapFiller;
import io.bilberryvalve.policy.placement.LayerAssigner;
import io.bilberryvalve.policy.placement.LayerTemplate;
import io.bilberryvalve.policy.placement.Rebalancer;

/**
 * Orders runners to load the layers that a model lacks. It runs on every daemon, but only
 * the one that holds the lease sends orders. The layer template is kept in the store, and
 * everything else is derived from the layers that the runners hold, so that another
 * daemon can continue at any point.
 */
public final class LayerReconciler {

	private static final System.Logger LOGGER = System.getLogger(LayerReconciler.class.getName());

	/**
	 * Time for which a data centre must lack layers before other cards are changed. A
	 * card that crashed is often back, without layers, within this time after it was
	 * removed from the list.
	 */
	private static final long REPAIR_DELAY_MILLIS = 1200;

	private final FleetRegistry fleet;

	private final TableService tables;

	private final LeaseManager lease;

	private final Clock clock;

	private final Duration heartbeat;

	private final OrderTracker orderTracker;

	private final Predicate<ListedRunner> isLost;

	private final Executor searcher;

	private final Map<String, TemplateStore> templates = new HashMap<>();

	private final Map<IncompleteService, Long> incompleteSince = new HashMap<>();

	private boolean leaseHeld;

	/**
	 * Creates a reconciler.
	 * @param fleet registry of the runners
	 * @param layerOrders sends orders to runners
	 * @param tables store that holds the layer templates
	 * @param lease lease that permits a single daemon to send orders
	 * @param clock monotonic clock
	 * @param heartbeat interval at which runners renew their entries in the list
	 * @param isLost accepts the runners that are dead or cut off although they are still
	 * listed
	 * @param searcher runs the searches for layer templates, which may take seconds
	 */
	public LayerReconciler(FleetRegistry fleet, LayerOrders layerOrders, TableService tables, LeaseManager lease,
			Clock clock, Duration heartbeat, Predicate<ListedRunner> isLost, Executor searcher) {
		this.fleet = fleet;
		this.orderTracker = new OrderTracker(layerOrders, clock);
		this.tables = tables;
		this.lease = lease;
		this.clock = clock;
		this.heartbeat = heartbeat;
		this.isLost = isLost;
		this.searcher = searcher;
	}

	/**
	 * Renews the lease and sends the orders that are due. Call it a few times a second,
	 * and never from two threads at once.
	 * @param table configuration in force
	 * @param leads whether this daemon should acquire the lease if it is free
	 * @param leaving whether this daemon is shutting down and gives up the lease
	 * @return runners that were ordered to drop layers with which they are still listed
	 */
	public Set<RunnerId> reconcile(RouteTable table, boolean leads, boolean leaving) {
		Optional<LeaseCandidate.Grant> grant = this.lease.grant();
		if (grant.isPresent() != this.leaseHeld) {
			this.leaseHeld = grant.isPresent();
			LogEvent.of(this.leaseHeld ? "layer-lease-gained" : "layer-lease-lost")
				.with("fencing", grant.map((now) -> now.fencing().value()).orElse(null))
				.log(LOGGER, System.Logger.Level.INFO);
		}
		this.lease.tick(!leaving && (leads || this.leaseHeld));
		if (grant.isEmpty()) {
			return Set.of();
		}
		FleetSnapshot fleet = this.fleet.snapshot();
		this.orderTracker.retain(fleet.all());
		for (Service service : table.services()) {
			EngineProfile engine = service.engine();
			if (engine != null) {
				List<ListedRunner> runners = fleet.ofService(service.name())
					.stream()
					.filter((runner) -> fits(runner, engine))
					.toList();
				reconcileService(service.name(), engine, runners, grant.get());
			}
		}
		return this.orderTracker.changingRunners(fleet.all());
	}

	private void reconcileService(String service, EngineProfile engine, List<ListedRunner> runners,
			LeaseCandidate.Grant grant) {
		List<Card> cards = runners.stream()
			.filter((runner) -> !runner.leaving() && this.orderTracker.acceptsOrders(runner.id()))
			.map((runner) -> this.orderTracker.card(runner, Objects.requireNonNull(engine.cards().get(runner.card()))))
			.toList();
		Optional<LayerTemplate> template = this.templates
			.computeIfAbsent(service,
					(name) -> new TemplateStore(name, this.tables, this.clock, this.heartbeat, this.searcher))
			.template(engine, cards, grant.fencing().era());
		if (template.isEmpty()) {
			return;
		}
		Set<RunnerId> gone = runners.stream().filter(this.isLost).map(ListedRunner::id).collect(Collectors.toSet());
		for (LayerAssigner.Assignment assignment : assignments(service, engine, template.get(), cards, gone)) {
			runners.stream()
				.filter((runner) -> runner.id().equals(assignment.card().runner()))
				.forEach((runner) -> this.orderTracker.order(runner, assignment.range(), engine, grant));
		}
	}

	// Entries may come from another writer and name no kind of card, or layers that the
	// model does not have.
	private static boolean fits(ListedRunner runner, EngineProfile engine) {
		String card = runner.card();
		LayerRange layers = runner.layers();
		return card != null && engine.cards().containsKey(card) && (layers == null || layers.end() <= engine.layers());
	}

	// Spare cards replace lost ones at once. Changes to other cards wait until the list
	// drops the lost card, since a card that was only cut off for a while comes back with
	// its layers.
	private List<LayerAssigner.Assignment> assignments(String service, EngineProfile engine, LayerTemplate template,
			Collection<Card> cards, Set<RunnerId> gone) {
		LayerAssigner assigner = new LayerAssigner(template);
		List<LayerAssigner.Assignment> assigned = assigner
			.assign(cards.stream().filter((card) -> !gone.contains(card.runner())).toList());
		return assigned.isEmpty()
				? repair(dueForRepair(service, assigner.incompleteDataCentres(cards)), engine, template, cards)
				: assigned;
	}

	// Returns the data centres that have lacked layers for the repair delay, in the given
	// order.
	private List<DataCentreId> dueForRepair(String service, List<DataCentreId> incomplete) {
		long now = this.clock.millis();
		this.incompleteSince.keySet()
			.removeIf((key) -> key.service.equals(service) && !incomplete.contains(key.dataCentre));
		return incomplete.stream()
			.filter((dataCentre) -> now - this.incompleteSince
				.computeIfAbsent(new IncompleteService(service, dataCentre), (key) -> now) >= REPAIR_DELAY_MILLIS)
			.toList();
	}

	private static List<LayerAssigner.Assignment> repair(List<DataCentreId> due, EngineProfile engine,
			LayerTemplate template, Collection<Card> cards) {
		GapFiller filler = new GapFiller(engine, template);
		for (DataCentreId dataCentre : due) {
			List<LayerAssigner.Assignment> filled = filler.fill(cards, dataCentre);
			if (!filled.isEmpty()) {
				return filled;
			}
		}
		// A data centre serves nothing for seconds while its cards are rebalanced, so
		// only one data centre does so at a time.
		return due.stream()
			.filter((dataCentre) -> cards.stream()
				.noneMatch((card) -> card.busy() && !card.dataCentre().equals(dataCentre)))
			.findFirst()
			.map((dataCentre) -> new Rebalancer(engine, template).rebalance(cards, dataCentre))
			.orElse(List.of());
	}

	/**
	 * A service that lacks layers in a data centre.
	 *
	 * @param service name of the service
	 * @param dataCentre data centre without some of its layers
	 */
	private record IncompleteService(String service, DataCentreId dataCentre) {

	}

}
