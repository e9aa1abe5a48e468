package io.bilberryvalve.daemon.order;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Supplier;

import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.lease.FencingNumber;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import io.bilberryvalve.policy.lease.LeaseTimes;
import io.bilberryvalve.policy.lease.OrderGate;
import org.jspecify.annotations.Nullable;

/**
 * Brings one engine to what the configuration wants. At most one request to the engine is
 * in progress. The engine is asked again from time to time, so that a late order of an
 * earlier holder does not last.
 */
final class EngineReconciler {

	private static final Logger LOGGER = System.getLogger(EngineReconciler.class.getName());

	private static final Duration ASK_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration ASK_INTERVAL = Duration.ofSeconds(30);

	private static final Duration RETRY_INTERVAL = Duration.ofSeconds(5);

	private final EngineOrders orders;

	private final OrderGate gate;

	private final LeaseTimes times;

	private final Clock clock;

	private Runner runner;

	private @Nullable EngineHolding known;

	private long version;

	private Instant quietUntil = Instant.MIN;

	private boolean busy;

	private Instant askAt = Instant.MIN;

	private Instant orderAt = Instant.MIN;

	EngineReconciler(Runner runner, EngineOrders orders, LeaseTimes times, Clock clock) {
		this.runner = runner;
		this.orders = orders;
		this.gate = new OrderGate(times);
		this.times = times;
		this.clock = clock;
		this.known = EngineHolding.of(runner);
	}

	/**
	 * Takes a changed configuration. An engine that does not say what it holds is assumed
	 * to hold what the earlier configuration wanted.
	 * @param next the configured runner
	 * @param nextVersion version of the configuration
	 */
	synchronized void configure(Runner next, long nextVersion) {
		boolean otherLease = !next.model().model().equals(this.runner.model().model());
		if (otherLease && !next.checksFencing()) {
			// Orders under the earlier lease must have ended.
			this.quietUntil = this.clock.instant().plus(this.times.duration()).plus(this.times.orderTimeout());
		}
		this.runner = next;
		this.version = nextVersion;
	}

	void tick(Supplier<Optional<LeaseCandidate.Grant>> lease) {
		Runner target = beginAsking(lease);
		if (target != null) {
			this.orders.holding(target, ASK_TIMEOUT).whenComplete((held, error) -> asked(held));
			return;
		}
		order(lease);
	}

	private synchronized @Nullable Runner beginAsking(Supplier<Optional<LeaseCandidate.Grant>> lease) {
		Instant now = this.clock.instant();
		if (this.busy || now.isBefore(this.askAt) || lease.get().isEmpty()) {
			return null;
		}
		this.busy = true;
		this.askAt = now.plus(ASK_INTERVAL);
		return this.runner;
	}

	private synchronized void asked(@Nullable Optional<EngineHolding> held) {
		this.busy = false;
		if (held != null && held.isPresent()) {
			this.known = held.get();
		}
	}

	private void order(Supplier<Optional<LeaseCandidate.Grant>> lease) {
		Runner target;
		FencingNumber fencing;
		synchronized (this) {
			Instant now = this.clock.instant();
			EngineHolding wanted = EngineHolding.of(this.runner);
			if (this.busy || now.isBefore(this.orderAt) || now.isBefore(this.quietUntil) || wanted.equals(this.known)) {
				return;
			}
			Optional<LeaseCandidate.Grant> current = lease.get();
			if (!this.gate.maySend(current, this.runner.checksFencing(), now)) {
				return;
			}
			this.busy = true;
			target = this.runner;
			fencing = current.get().fencing().forOrder(this.version);
		}
		EngineHolding wanted = EngineHolding.of(target);
		LogEvent.of("engine-order")
			.with("runner", target.id())
			.with("model", wanted.model())
			.with("layers", wanted.layers())
			.with("fencing", fencing.value())
			.log(LOGGER, Level.INFO);
		this.orders.load(target, fencing, wanted, this.times.orderTimeout())
			.whenComplete((reply, error) -> replied(target, wanted, reply));
	}

	private synchronized void replied(Runner target, EngineHolding wanted, EngineOrders.@Nullable Reply reply) {
		this.busy = false;
		if (reply instanceof EngineOrders.Reply.Done) {
			this.known = wanted;
			return;
		}
		this.orderAt = this.clock.instant().plus(RETRY_INTERVAL);
		this.askAt = Instant.MIN;
		LogEvent.of("engine-order-failed").with("runner", target.id()).with("reply", reply).log(LOGGER, Level.WARNING);
	}

}
