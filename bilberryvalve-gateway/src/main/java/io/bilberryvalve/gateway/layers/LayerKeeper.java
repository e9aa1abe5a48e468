package io.bilberryvalve.gateway.layers;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.bilberryvalve.gateway.fleet.FleetBoard;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.Commit;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.Operation;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.lease.LeaseKeeper;
import io.bilberryvalve.policy.lease.LeaseHolder;
import io.bilberryvalve.policy.placement.Card;
import io.bilberryvalve.policy.placement.CardKind;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.placement.LayerAssigner;
import io.bilberryvalve.policy.placement.LayerTemplate;
import io.bilberryvalve.policy.placement.Rebalancer;
import io.bilberryvalve.policy.placement.TemplateSearch;
import org.jspecify.annotations.Nullable;

/**
 * Places the layers of models on runners, on the one daemon that holds the lease. The
 * widths of the ranges are chosen once and kept in the store; everything else follows
 * from what the runners hold, so that another daemon can continue at any point. Safe for
 * use by several threads.
 */
public final class LayerKeeper {

	private static final System.Logger LOGGER = System.getLogger(LayerKeeper.class.getName());

	private static final String TABLE = "layer-templates";

	/** Heartbeats within which all runners are listed after a start. */
	private static final double SETTLE_HEARTBEATS = 1.25;

	/**
	 * With so many times the cards for which it was made, a template wastes most of them.
	 */
	private static final double OUTGROWN = 1.25;

	private static final String CARDS = "cards=";

	/** An order without a visible effect is looked into after this time. */
	private static final long LOOK_AFTER_MILLIS = 2500;

	/**
	 * A runner that refuses an order with the right count is in a state that the list
	 * does not show yet, such as leaving; the list shows it within some heartbeats.
	 */
	private static final long UNFIT_MILLIS = 5000;

	/** Orders that load at the same time slow each other down by at most this factor. */
	private static final double LOAD_SLOWDOWN = 7;

	/** A card that crashed is often back, and empty, within this time of its removal. */
	private static final long REBALANCE_AFTER_MILLIS = 1200;

	private static final double MILLIS_PER_SECOND = 1000;

	private final FleetBoard board;

	private final LayerOrders orders;

	private final TableService tables;

	private final LeaseKeeper lease;

	private final Clock clock;

	private final long settleMillis;

	private final Map<RunnerId, Pending> pending = new HashMap<>();

	private final Map<RunnerId, Known> known = new HashMap<>();

	private final Map<RunnerId, Long> unfitUntil = new HashMap<>();

	private final Map<String, Placed> templates = new HashMap<>();

	private final Map<DataCentreId, Long> incompleteSince = new HashMap<>();

	private int lastSize = -1;

	private long unchangedSince;

	private boolean storing;

	private volatile boolean held;

	/**
	 * Creates a keeper.
	 * @param board the runners
	 * @param orders sends orders
	 * @param tables keeps the templates
	 * @param lease permits one daemon to order
	 * @param clock monotonic clock
	 * @param heartbeat interval at which runners renew their entries
	 */
	public LayerKeeper(FleetBoard board, LayerOrders orders, TableService tables, LeaseKeeper lease, Clock clock,
			Duration heartbeat) {
		this.settleMillis = Math.round(heartbeat.toMillis() * SETTLE_HEARTBEATS);
		this.board = board;
		this.orders = orders;
		this.tables = tables;
		this.lease = lease;
		this.clock = clock;
	}

	/**
	 * Does what is due. Call it a few times a second.
	 * @param table the configuration in force
	 * @param leads whether this daemon should take the lease
	 * @param leaving whether this daemon gives the lease up
	 */
	public void tick(RouteTable table, boolean leads, boolean leaving) {
		boolean holds = this.lease.grant().isPresent();
		if (holds != this.held) {
			this.held = holds;
			LogEvent.of(holds ? "layer-lease-gained" : "layer-lease-lost")
				.with("fencing", this.lease.grant().map((grant) -> grant.fencing().value()).orElse(null))
				.log(LOGGER, System.Logger.Level.INFO);
		}
		this.lease.tick(!leaving && (leads || holds));
		if (!holds) {
			return;
		}
		for (Service service : table.services()) {
			EngineProfile engine = service.engine();
			if (engine != null) {
				keep(service.name(), engine);
			}
		}
	}

	private synchronized void keep(String service, EngineProfile engine) {
		List<ListedRunner> runners = this.board.fleet()
			.of(service)
			.stream()
			.filter((runner) -> !runner.leaving() && engine.cards().containsKey(runner.card()) && fit(runner.id()))
			.toList();
		Placed placed = this.templates.get(service);
		if (placed == null || runners.size() >= placed.cards * OUTGROWN) {
			load(service, engine, runners);
		}
		if (placed != null) {
			place(runners, engine, placed.template);
		}
	}

	private void place(List<ListedRunner> runners, EngineProfile engine, LayerTemplate template) {
		List<Card> cards = cards(runners, engine);
		LayerAssigner assigner = new LayerAssigner(template);
		List<LayerAssigner.Assignment> assignments = assigner.assign(cards);
		if (assignments.isEmpty()) {
			assignments = rebalance(assigner, new Rebalancer(engine, template), cards);
		}
		else {
			this.incompleteSince.clear();
		}
		for (LayerAssigner.Assignment assignment : assignments) {
			this.board.fleet()
				.find(assignment.card().runner())
				.ifPresent((runner) -> order(runner, assignment.range(), engine));
		}
	}

	// Closes gaps, or spreads the model over the remaining cards, once no card has come
	// for a while.
	private List<LayerAssigner.Assignment> rebalance(LayerAssigner assigner, Rebalancer rebalancer, List<Card> cards) {
		List<DataCentreId> incomplete = assigner.incomplete(cards);
		this.incompleteSince.keySet().retainAll(incomplete);
		long now = this.clock.millis();
		List<DataCentreId> due = incomplete.stream()
			.filter((dataCentre) -> now
					- this.incompleteSince.computeIfAbsent(dataCentre, (key) -> now) >= REBALANCE_AFTER_MILLIS)
			.toList();
		for (DataCentreId dataCentre : due) {
			List<LayerAssigner.Assignment> extended = rebalancer.extend(cards, dataCentre);
			if (!extended.isEmpty()) {
				return extended;
			}
		}
		return due.stream()
			.filter((dataCentre) -> !otherChanges(cards, dataCentre))
			.findFirst()
			.map((dataCentre) -> rebalancer.rebalance(cards, dataCentre))
			.orElse(List.of());
	}

	// Cards that change their layers serve nothing for seconds, so one data centre
	// changes at a time.
	private boolean otherChanges(List<Card> cards, DataCentreId changing) {
		return cards.stream()
			.anyMatch((card) -> !card.dataCentre().equals(changing) && this.pending.containsKey(card.runner()));
	}

	private List<Card> cards(List<ListedRunner> runners, EngineProfile engine) {
		return runners.stream().map((runner) -> card(runner, engine)).toList();
	}

	// A runner with the layers that it holds or is going to hold.
	private Card card(ListedRunner runner, EngineProfile engine) {
		CardKind kind = engine.cards().get(runner.card());
		Pending open = this.pending.get(runner.id());
		if (open != null && (open.started != runner.startedMillis() || open.range.equals(runner.layers()))) {
			this.pending.remove(runner.id());
			open = null;
		}
		if (open != null && this.clock.millis() >= open.lookAt) {
			look(runner, open);
		}
		return new Card(runner.id(), runner.dataCentre(), kind, (open != null) ? open.range : runner.layers());
	}

	private void order(ListedRunner runner, LayerRange range, EngineProfile engine) {
		long now = this.clock.millis();
		long load = Math
			.round(engine.loadSeconds() * range.size() / engine.layers() * LOAD_SLOWDOWN * MILLIS_PER_SECOND);
		send(runner, new Pending(range, runner.startedMillis(), now + LOOK_AFTER_MILLIS, load));
	}

	private void send(ListedRunner runner, Pending open) {
		Optional<LeaseHolder.Grant> grant = this.lease.grant();
		Known state = this.known.get(runner.id());
		boolean same = state != null && state.started == runner.startedMillis();
		if (grant.isEmpty() || (same && state.refusedFencing >= grant.get().fencing().value())) {
			this.pending.remove(runner.id());
			return;
		}
		long fencing = grant.get().fencing().value();
		// A runner that holds layers has usually had one order; a wrong guess is refused
		// and looked up.
		long guess = (runner.layers() != null) ? 1 : 0;
		long accepted = same ? state.accepted : guess;
		this.pending.put(runner.id(), open);
		this.orders.place(runner, open.range, fencing, accepted)
			.thenAccept((answer) -> answered(runner, open, answer, accepted, fencing));
	}

	private boolean fit(RunnerId runner) {
		Long until = this.unfitUntil.get(runner);
		return until == null || this.clock.millis() >= until;
	}

	private synchronized void answered(ListedRunner runner, Pending open, LayerOrders.Answer answer, long accepted,
			long fencing) {
		LogEvent.of("layers-ordered")
			.with("runner", runner.id())
			.with("layers", open.range)
			.with("fencing", fencing)
			.with("accepted", accepted)
			.with("answer", answer)
			.log(LOGGER, System.Logger.Level.INFO);
		if (this.pending.get(runner.id()) != open) {
			return;
		}
		long now = this.clock.millis();
		switch (answer) {
			case ACCEPTED -> {
				this.known.put(runner.id(), new Known(runner.startedMillis(), accepted + 1, 0));
				open.lookAt = now + LOOK_AFTER_MILLIS + open.loadMillis;
			}
			case SUPERSEDED -> {
				this.known.put(runner.id(), new Known(runner.startedMillis(), accepted, fencing));
				this.pending.remove(runner.id());
			}
			case CONFLICT -> {
				if (open.resent) {
					this.pending.remove(runner.id());
					this.unfitUntil.put(runner.id(), now + UNFIT_MILLIS);
				}
				else {
					open.conflict = true;
					look(runner, open);
				}
			}
			case REFUSED -> open.lookAt = now;
			default -> open.lookAt = now + LOOK_AFTER_MILLIS;
		}
	}

	// Reads the state of a runner whose order had no visible effect.
	private void look(ListedRunner runner, Pending open) {
		open.lookAt = this.clock.millis() + LOOK_AFTER_MILLIS;
		this.orders.state(runner).thenAccept((state) -> seen(runner, open, state));
	}

	private synchronized void seen(ListedRunner runner, Pending open, LayerOrders.@Nullable State state) {
		if (this.pending.get(runner.id()) != open || state == null) {
			return;
		}
		this.known.put(runner.id(), new Known(runner.startedMillis(), state.accepted(), 0));
		boolean again = open.conflict && !state.busy() && !open.range.equals(state.layers());
		open.conflict = false;
		if (again) {
			open.resent = true;
			send(runner, open);
		}
		else if (!state.busy()) {
			this.pending.remove(runner.id());
		}
		LogEvent.of("layers-looked-up")
			.with("runner", runner.id())
			.with("ordered", open.range)
			.with("holds", state.layers())
			.with("busy", state.busy())
			.log(LOGGER, System.Logger.Level.INFO);
	}

	private void load(String service, EngineProfile engine, List<ListedRunner> runners) {
		if (runners.size() != this.lastSize) {
			this.lastSize = runners.size();
			this.unchangedSince = this.clock.millis();
		}
		if (!this.storing && !runners.isEmpty()) {
			this.storing = true;
			this.tables.read(TABLE, service).thenAccept((fetched) -> read(service, engine, runners, fetched));
		}
	}

	private boolean settled() {
		return this.clock.millis() - this.unchangedSince >= this.settleMillis;
	}

	private synchronized void read(String service, EngineProfile engine, List<ListedRunner> runners,
			Fetched<Row> fetched) {
		this.storing = false;
		Placed known = (fetched instanceof Fetched.Found<Row> found) ? parse(found.value().value(), engine.layers())
				: null;
		if (known != null && runners.size() < known.cards * OUTGROWN) {
			use(service, known);
		}
		else if (!(fetched instanceof Fetched.Failed<Row>) && settled()) {
			LayerTemplate best = new TemplateSearch(engine, cards(runners, engine)).best();
			long version = (fetched instanceof Fetched.Found<Row> found) ? found.value().version() : Operation.ABSENT;
			if (!best.widths().isEmpty()) {
				store(service, new Placed(best, runners.size()), version);
			}
		}
	}

	private void store(String service, Placed placed, long version) {
		this.storing = true;
		this.tables.commit(List.of(new Operation.Put(TABLE, service, version, format(placed))))
			.thenAccept((commit) -> stored(service, placed, commit));
	}

	private synchronized void stored(String service, Placed placed, Commit commit) {
		this.storing = false;
		if (commit instanceof Commit.Committed) {
			use(service, placed);
		}
	}

	private void use(String service, Placed placed) {
		this.templates.put(service, placed);
		LogEvent.of("layer-template")
			.with("service", service)
			.with("template", format(placed))
			.with("requests-per-second", placed.template.requestsPerSecond())
			.log(LOGGER, System.Logger.Level.INFO);
	}

	private static String format(Placed placed) {
		return CARDS + placed.cards + ','
				+ new TreeMap<>(placed.template.widths()).entrySet()
					.stream()
					.map((entry) -> entry.getKey() + ":" + entry.getValue())
					.collect(Collectors.joining(","));
	}

	private static @Nullable Placed parse(String text, int layers) {
		Map<String, Integer> widths = new HashMap<>();
		int cards = 0;
		for (String entry : text.split(",")) {
			int colon = entry.lastIndexOf(':');
			if (colon > 0) {
				widths.put(entry.substring(0, colon), Integer.parseInt(entry.substring(colon + 1)));
			}
			else if (entry.startsWith(CARDS)) {
				cards = Integer.parseInt(entry.substring(CARDS.length()));
			}
		}
		return widths.isEmpty() ? null : new Placed(new LayerTemplate(layers, widths, 0), cards);
	}

	/**
	 * A template in use.
	 *
	 * @param template the template
	 * @param cards number of cards for which it was made
	 */
	private record Placed(LayerTemplate template, int cards) {

	}

	/** An order whose effect is not visible yet. */
	private static final class Pending {

		private final LayerRange range;

		private final long started;

		private final long loadMillis;

		private long lookAt;

		private boolean conflict;

		private boolean resent;

		Pending(LayerRange range, long started, long lookAt, long loadMillis) {
			this.range = range;
			this.started = started;
			this.lookAt = lookAt;
			this.loadMillis = loadMillis;
		}

	}

	/**
	 * What is known of a start of a runner.
	 *
	 * @param started its start
	 * @param accepted number of orders that it accepted
	 * @param refusedFencing highest fencing number that it refused, 0 for none
	 */
	private record Known(long started, long accepted, long refusedFencing) {

	}

}
