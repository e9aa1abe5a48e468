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
 * Makes one engine load what the configuration assigns to it. At most one request to the
 * engine is in progress. The engine is asked every 30 s what it has loaded, so that the
 * effect of a late order from an earlier lease holder is found and corrected. Safe for
 * use by several threads.
 */
final class EngineReconciler {

	private static final Logger LOGGER = System.getLogger(EngineReconciler.class.getName());

	private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration FETCH_INTERVAL = Duration.ofSeconds(30);

	private static final Duration RETRY_INTERVAL = Duration.ofSeconds(5);

	private final EngineOrderClient orderClient;

	private final OrderGate gate;

	private final LeaseTimes times;

	private final Clock clock;

	private Runner runner;

	private @Nullable LoadedModel lastKnown;

	private long configurationVersion;

	private Instant noOrdersUntil = Instant.MIN;

	private boolean requestInProgress;

	private Instant nextFetch = Instant.MIN;

	private Instant nextOrder = Instant.MIN;

	EngineReconciler(Runner runner, EngineOrderClient orderClient, LeaseTimes times, Clock clock) {
		this.runner = runner;
		this.orderClient = orderClient;
		this.gate = new OrderGate(times);
		this.times = times;
		this.clock = clock;
		this.lastKnown = LoadedModel.of(runner);
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
			this.noOrdersUntil = this.clock.instant().plus(this.times.duration()).plus(this.times.orderTimeout());
		}
		this.runner = next;
		this.configurationVersion = nextVersion;
	}

	void tick(Supplier<Optional<LeaseCandidate.Grant>> lease) {
		Runner target = beginFetch(lease);
		if (target != null) {
			this.orderClient.fetchLoadedModel(target, FETCH_TIMEOUT)
				.whenComplete((reported, error) -> onFetched(reported));
			return;
		}
		sendOrder(lease);
	}

	private synchronized @Nullable Runner beginFetch(Supplier<Optional<LeaseCandidate.Grant>> lease) {
		Instant now = this.clock.instant();
		if (this.requestInProgress || now.isBefore(this.nextFetch) || lease.get().isEmpty()) {
			return null;
		}
		this.requestInProgress = true;
		this.nextFetch = now.plus(FETCH_INTERVAL);
		return this.runner;
	}

	private synchronized void onFetched(@Nullable Optional<LoadedModel> reported) {
		this.requestInProgress = false;
		if (reported != null && reported.isPresent()) {
			this.lastKnown = reported.get();
		}
	}

	private void sendOrder(Supplier<Optional<LeaseCandidate.Grant>> lease) {
		Runner target;
		FencingNumber fencing;
		synchronized (this) {
			Instant now = this.clock.instant();
			LoadedModel wanted = LoadedModel.of(this.runner);
			if (this.requestInProgress || now.isBefore(this.nextOrder) || now.isBefore(this.noOrdersUntil)
					|| wanted.equals(this.lastKnown)) {
				return;
			}
			Optional<LeaseCandidate.Grant> current = lease.get();
			if (!this.gate.maySend(current, this.runner.checksFencing(), now)) {
				return;
			}
			this.requestInProgress = true;
			target = this.runner;
			fencing = current.get().fencing().forOrder(this.configurationVersion);
		}
		LoadedModel wanted = LoadedModel.of(target);
		LogEvent.of("engine-order")
			.with("runner", target.id())
			.with("model", wanted.model())
			.with("layers", wanted.layers())
			.with("fencing", fencing.value())
			.log(LOGGER, Level.INFO);
		this.orderClient.orderLoad(target, fencing, wanted, this.times.orderTimeout())
			.whenComplete((reply, error) -> onReply(target, wanted, reply));
	}

	private synchronized void onReply(Runner target, LoadedModel wanted, EngineOrderClient.@Nullable Reply reply) {
		this.requestInProgress = false;
		if (reply instanceof EngineOrderClient.Reply.Done) {
			this.lastKnown = wanted;
			return;
		}
		this.nextOrder = this.clock.instant().plus(RETRY_INTERVAL);
		this.nextFetch = Instant.MIN;
		LogEvent.of("engine-order-failed").with("runner", target.id()).with("reply", reply).log(LOGGER, Level.WARNING);
	}

}
