package io.bilberryvalve.daemon.order;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import io.bilberryvalve.daemon.lifecycle.SimulatedProcess;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.lease.LeaseManager;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import io.bilberryvalve.policy.lease.LeaseScope;
import io.bilberryvalve.policy.lease.LeaseTimes;
import io.bilberryvalve.policy.lease.OrderGate;

/**
 * Simulates daemons, each with its own clock offset, that compete for one lease and send
 * orders to an engine that ignores fencing numbers. An order arrives after a delay of at
 * most the order timeout.
 */
final class LeaseSimulation {

	static final LeaseTimes TIMES = LeaseTimes.defaults();

	final ManualClock clock = new ManualClock();

	final InMemoryTableService tables = new InMemoryTableService();

	final OrderHistory history = new OrderHistory();

	int actions;

	private final List<Competitor> competitors = new ArrayList<>();

	private final List<OrderInFlight> orders = new ArrayList<>();

	private int incarnations;

	LeaseSimulation(int daemons) {
		for (int i = 0; i < daemons; i++) {
			this.competitors.add(new Competitor("d" + this.incarnations++));
		}
	}

	void restart(int daemon) {
		this.competitors.get(daemon).process.kill();
		this.competitors.set(daemon, new Competitor("d" + this.incarnations++));
	}

	void pause(int daemon, Duration time) {
		this.competitors.get(daemon).process.pause();
		this.competitors.get(daemon).pausedUntil = this.clock.instant().plus(time);
	}

	void compete(int daemon, boolean competes) {
		this.competitors.get(daemon).competes = competes;
	}

	void advance(Duration duration, Duration delay) {
		this.clock.advance(duration);
		Instant now = this.clock.instant();
		this.orders.removeIf((order) -> {
			boolean arrives = !order.at().isAfter(now);
			if (arrives) {
				this.history.recordExecution("engine", order.fencing());
			}
			return arrives;
		});
		this.competitors.forEach((competitor) -> competitor.step(delay));
	}

	private final class Competitor {

		private final SimulatedProcess process = new SimulatedProcess();

		private final String name;

		private final Clock ownClock;

		private final LeaseManager leaseManager;

		private final OrderGate gate = new OrderGate(TIMES);

		private Instant pausedUntil = Instant.MIN;

		private boolean competes = true;

		Competitor(String name) {
			this.name = name;
			Random random = new Random(name.hashCode());
			Duration offset = Duration.ofSeconds(random.nextInt(100_000));
			this.ownClock = new OffsetClock(LeaseSimulation.this.clock, offset);
			LeaseScope scope = new LeaseScope(new ModelId("m"), new RegionId("south"));
			this.leaseManager = new LeaseManager(scope.toString(),
					new LeaseCandidate(name, TIMES, this.ownClock, random),
					this.process.connect(LeaseSimulation.this.tables));
		}

		void step(Duration delay) {
			Instant now = LeaseSimulation.this.clock.instant();
			if (now.isBefore(this.pausedUntil)) {
				return;
			}
			// The order is sent before the lease is renewed, because a daemon that was
			// paused continues where it stopped, without knowing that time has passed.
			Optional<LeaseCandidate.Grant> grant = this.leaseManager.grant();
			if (grant.isPresent()) {
				LeaseSimulation.this.actions++;
				long fencing = grant.get().fencing().value();
				LeaseSimulation.this.history.recordAction(now, this.name, fencing);
				if (this.gate.maySend(grant, false, this.ownClock.instant())) {
					LeaseSimulation.this.orders.add(new OrderInFlight(now.plus(delay), fencing));
				}
			}
			this.process.resume();
			this.leaseManager.tick(this.competes);
		}

	}

	private record OrderInFlight(Instant at, long fencing) {

	}

	private static final class OffsetClock extends Clock {

		private final Clock base;

		private final Duration offset;

		OffsetClock(Clock base, Duration offset) {
			this.base = base;
			this.offset = offset;
		}

		@Override
		public ZoneId getZone() {
			return this.base.getZone();
		}

		@Override
		public Clock withZone(ZoneId zone) {
			return Clock.fixed(instant(), zone);
		}

		@Override
		public Instant instant() {
			return this.base.instant().plus(this.offset);
		}

	}

}
