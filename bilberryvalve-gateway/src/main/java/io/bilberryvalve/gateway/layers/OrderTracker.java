package io.bilberryvalve.gateway.layers;

import java.time.Clock;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import io.bilberryvalve.policy.placement.Card;
import io.bilberryvalve.policy.placement.CardKind;
import io.bilberryvalve.policy.placement.EngineProfile;
import org.jspecify.annotations.Nullable;

/**
 * Sends orders to runners and tracks each until the list of runners shows its effect. If
 * an order has no effect in time, the state of its runner is queried. The order is not
 * repeated before that, because the runner may still carry it out. Safe for use by
 * several threads.
 */
final class OrderTracker {

	private static final System.Logger LOGGER = System.getLogger(OrderTracker.class.getName());

	/**
	 * Time after which the state of a runner is queried if an order has no visible
	 * effect.
	 */
	private static final long QUERY_DELAY_MILLIS = 2500;

	/**
	 * Time for which a runner gets no orders after it refused one with the correct number
	 * of accepted orders. It is then in a state that the list does not show yet, such as
	 * leaving; the list shows it within a few heartbeats.
	 */
	private static final long REFUSAL_PAUSE_MILLIS = 5000;

	/**
	 * Largest factor by which orders that load layers at the same time slow each other
	 * down.
	 */
	private static final double LOAD_SLOWDOWN = 7;

	private static final double MILLIS_PER_SECOND = 1000;

	private final LayerOrders layerOrders;

	private final Clock clock;

	private final Map<RunnerId, PendingOrder> pending = new HashMap<>();

	private final Map<RunnerId, OrderRecord> records = new HashMap<>();

	private final Map<RunnerId, Long> refusingUntil = new HashMap<>();

	OrderTracker(LayerOrders layerOrders, Clock clock) {
		this.layerOrders = layerOrders;
		this.clock = clock;
	}

	/**
	 * Removes the state of runners that are no longer listed.
	 * @param runners all listed runners
	 */
	synchronized void retain(Collection<ListedRunner> runners) {
		Set<RunnerId> ids = runners.stream().map(ListedRunner::id).collect(Collectors.toSet());
		this.pending.keySet().retainAll(ids);
		this.records.keySet().retainAll(ids);
		this.refusingUntil.keySet().retainAll(ids);
	}

	/**
	 * Returns whether a runner is expected to accept orders.
	 * @param runner identifier of the runner
	 * @return {@code false} for some seconds after it refused a correct order
	 */
	synchronized boolean acceptsOrders(RunnerId runner) {
		Long until = this.refusingUntil.get(runner);
		return until == null || this.clock.millis() >= until;
	}

	/**
	 * Finds the runners that were ordered to drop layers with which they are still
	 * listed.
	 * @param runners all listed runners
	 * @return identifiers of those whose orders have no visible effect yet
	 */
	synchronized Set<RunnerId> changingRunners(Collection<ListedRunner> runners) {
		return runners.stream().filter(this::dropsListedLayers).map(ListedRunner::id).collect(Collectors.toSet());
	}

	private boolean dropsListedLayers(ListedRunner runner) {
		PendingOrder open = this.pending.get(runner.id());
		LayerRange held = runner.layers();
		return open != null && open.started == runner.startedMillis() && held != null && !open.range.contains(held);
	}

	/**
	 * Returns the card of a runner with the layers that it holds or was ordered to hold.
	 * Queries the state of the runner in the background if that is due.
	 * @param runner runner as listed
	 * @param kind its kind of card
	 * @return the card; it is busy while an order has no visible effect
	 */
	synchronized Card card(ListedRunner runner, CardKind kind) {
		PendingOrder open = this.pending.get(runner.id());
		if (open != null && (open.started != runner.startedMillis() || open.range.equals(runner.layers()))) {
			this.pending.remove(runner.id());
			open = null;
		}
		if (open != null && this.clock.millis() >= open.queryAt) {
			queryState(runner, open);
		}
		LayerRange held = (open != null) ? open.range : runner.layers();
		return new Card(runner.id(), runner.dataCentre(), kind, held, open != null);
	}

	/**
	 * Orders a runner to hold layers.
	 * @param runner runner to which the order is sent
	 * @param range all layers that it is to hold
	 * @param engine profile from which the loading time is estimated
	 * @param grant grant of the lease, which permits this daemon to send orders
	 */
	synchronized void order(ListedRunner runner, LayerRange range, EngineProfile engine, LeaseCandidate.Grant grant) {
		long load = Math
			.round(engine.loadSeconds() * range.size() / engine.layers() * LOAD_SLOWDOWN * MILLIS_PER_SECOND);
		send(runner, new PendingOrder(range, runner.startedMillis(), grant, load));
	}

	private void send(ListedRunner runner, PendingOrder open) {
		long fencing = open.grant.fencing().value();
		Optional<OrderRecord> state = Optional.ofNullable(this.records.get(runner.id()))
			.filter((record) -> record.started == runner.startedMillis());
		boolean expired = !this.clock.instant().isBefore(open.grant.validUntil());
		if (expired || state.filter((record) -> record.refusedFencing >= fencing).isPresent()) {
			this.pending.remove(runner.id());
			return;
		}
		// A runner that holds layers has usually accepted one order. If the guess is
		// wrong, the runner refuses the order, and its state is queried.
		long guess = (runner.layers() != null) ? 1 : 0;
		long accepted = state.map(OrderRecord::accepted).orElse(guess);
		open.queryAt = this.clock.millis() + QUERY_DELAY_MILLIS;
		this.pending.put(runner.id(), open);
		this.layerOrders.sendOrder(runner, open.range, fencing, accepted)
			.thenAccept((answer) -> onResult(runner, open, answer, accepted));
	}

	private synchronized void onResult(ListedRunner runner, PendingOrder open, LayerOrders.Answer answer,
			long accepted) {
		long fencing = open.grant.fencing().value();
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
				this.records.put(runner.id(), new OrderRecord(runner.startedMillis(), accepted + 1, 0));
				open.queryAt = now + QUERY_DELAY_MILLIS + open.loadMillis;
			}
			case SUPERSEDED -> {
				this.records.put(runner.id(), new OrderRecord(runner.startedMillis(), accepted, fencing));
				this.pending.remove(runner.id());
			}
			case CONFLICT -> onConflict(runner, open, now);
			case REFUSED -> open.queryAt = now;
			default -> open.queryAt = now + QUERY_DELAY_MILLIS;
		}
	}

	// Either the number of accepted orders was wrong, which a query corrects, or the
	// runner accepts no orders in its state.
	private void onConflict(ListedRunner runner, PendingOrder open, long now) {
		if (open.resent) {
			this.pending.remove(runner.id());
			this.refusingUntil.put(runner.id(), now + REFUSAL_PAUSE_MILLIS);
		}
		else {
			open.conflict = true;
			queryState(runner, open);
		}
	}

	private void queryState(ListedRunner runner, PendingOrder open) {
		open.queryAt = this.clock.millis() + QUERY_DELAY_MILLIS;
		this.layerOrders.fetchState(runner).thenAccept((state) -> onState(runner, open, state));
	}

	private synchronized void onState(ListedRunner runner, PendingOrder open, LayerOrders.@Nullable EngineState state) {
		if (this.pending.get(runner.id()) != open || state == null) {
			return;
		}
		LogEvent.of("layers-looked-up")
			.with("runner", runner.id())
			.with("ordered", open.range)
			.with("holds", state.layers())
			.with("busy", state.busy())
			.log(LOGGER, System.Logger.Level.INFO);
		this.records.put(runner.id(), new OrderRecord(runner.startedMillis(), state.accepted(), 0));
		boolean resend = open.conflict && !state.busy() && !open.range.equals(state.layers());
		open.conflict = false;
		if (resend) {
			open.resent = true;
			send(runner, open);
		}
		else if (!state.busy()) {
			this.pending.remove(runner.id());
		}
	}

	/** An order whose effect the list does not show yet. */
	private static final class PendingOrder {

		private final LayerRange range;

		private final long started;

		private final LeaseCandidate.Grant grant;

		private final long loadMillis;

		private long queryAt;

		private boolean conflict;

		private boolean resent;

		PendingOrder(LayerRange range, long started, LeaseCandidate.Grant grant, long loadMillis) {
			this.range = range;
			this.started = started;
			this.grant = grant;
			this.loadMillis = loadMillis;
		}

	}

	/**
	 * Orders of one start of a runner, as far as they are known.
	 *
	 * @param started time of the start, as listed
	 * @param accepted number of orders that it has accepted
	 * @param refusedFencing highest fencing number that it refused, 0 for none
	 */
	private record OrderRecord(long started, long accepted, long refusedFencing) {

	}

}
