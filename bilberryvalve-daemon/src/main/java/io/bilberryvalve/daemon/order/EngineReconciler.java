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
import io.bilberryvalve.policy.lease.LeaseHolder;
import io.bilberryvalve.policy.lease.LeaseTimes;
import io.bilberryvalve.policy.lease.OrderGate;
import org.jspecify.annotations.Nullable;

/**
 * Makes one engine load what the configuration assigns to it. At most one request to the
 * engine is in progress. The engine is asked every 30 s what it has loaded, so that the
 * effect of a late order from an earlier lease holder is found and corrected. Safe for
 * use by several threads.
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
	 * Applies a changed configuration. An engine that does not report what it has loaded
	 * is assumed to have loaded what the previous configuration assigned to it.
	 * @param next the runner in the new configuration
	 * @param nextVersion version of the new configuration
	 */
	synchronized void configure(Runner next, long nextVersion) {
		boolean otherLease = !next.model().model().equals(this.runner.model().model());
		if (otherLease && !next.checksFencing()) {
			// The runner changes to the lease of another model, and the engine does not
			// refuse old orders. Wait until no order under the earlier lease can arrive.
			this.quietUntil = this.clock.instant().plus(this.times.duration()).plus(this.times.orderTimeout());
		}
		this.runner = next;
		this.version = nextVersion;
	}

	void tick(Supplier<Optional<LeaseHolder.Grant>> lease) {
		Runner target = beginAsking(lease);
		if (target != null) {
			this.orders.holding(target, ASK_TIMEOUT).whenComplete((held, error) -> asked(held));
			return;
		}
		order(lease);
	}

	private synchronized @Nullable Runner beginAsking(Supplier<Optional<LeaseHolder.Grant>> lease) {
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

	private void order(Supplier<Optional<LeaseHolder.Grant>> lease) {
		Runner target;
		FencingNumber fencing;
		synchronized (this) {
			Instant now = this.clock.instant();
			EngineHolding wanted = EngineHolding.of(this.runner);
			if (this.busy || now.isBefore(this.orderAt) || now.isBefore(this.quietUntil) || wanted.equals(this.known)) {
				return;
			}
			Optional<LeaseHolder.Grant> current = lease.get();
			if (!this.gate.mayOrder(current, this.runner.checksFencing(), now)) {
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
