package io.bilberryvalve.daemon.runner;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.daemon.engine.CacheEvents;
import io.bilberryvalve.daemon.engine.CacheEvents.CacheEvent;
import io.bilberryvalve.daemon.engine.EngineClient;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.choice.LoadReport;

/**
 * Polls the load and the cache events of the runners and keeps the plan up to date.
 * {@link #tick()} is called by one background thread, at least every 100 ms; it does not
 * wait for answers.
 */
public final class LoadMonitor {

	/** Polls of a runner's load for each poll of its cache events. */
	private static final int LOADS_PER_CACHE_POLL = 2;

	private static final double MILLIS_PER_SECOND = 1000;

	private final RunnerFleet fleet;

	private final EngineClient engines;

	private final ConfigurationSource configuration;

	private final Clock clock;

	private final RandomGenerator random;

	private final LoadMonitorSettings settings;

	private final Map<RunnerId, Target> targets = new HashMap<>();

	private final AtomicInteger inFlight = new AtomicInteger();

	private FederationConfiguration known = FederationConfiguration.empty();

	private Instant planned = Instant.MIN;

	private Instant last;

	private double allowance;

	/**
	 * Creates a monitor.
	 * @param fleet receives the reports
	 * @param engines client of the engines
	 * @param configuration the configuration in force
	 * @param clock the clock
	 * @param random source of the jitter
	 * @param settings bounds
	 */
	public LoadMonitor(RunnerFleet fleet, EngineClient engines, ConfigurationSource configuration, Clock clock,
			RandomGenerator random, LoadMonitorSettings settings) {
		this.fleet = fleet;
		this.engines = engines;
		this.configuration = configuration;
		this.clock = clock;
		this.random = random;
		this.settings = settings;
		this.last = clock.instant();
	}

	/**
	 * Starts the polls that are due and plans if necessary.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		if (this.known != this.configuration.current()) {
			adopt(this.configuration.current(), now);
		}
		poll(now);
		if (this.planned.isBefore(now.minus(this.settings.planning()))) {
			this.fleet.replan();
			this.planned = now;
		}
		else {
			this.fleet.refresh();
		}
	}

	private void adopt(FederationConfiguration next, Instant now) {
		this.known = next;
		Map<RunnerId, Target> old = new HashMap<>(this.targets);
		this.targets.clear();
		for (Runner runner : next.federation().runners()) {
			Target target = old.get(runner.id());
			boolean same = target != null && target.runner.equals(runner);
			this.targets.put(runner.id(), same ? target : new Target(runner, now));
		}
	}

	private void poll(Instant now) {
		double elapsed = Duration.between(this.last, now).toMillis() / MILLIS_PER_SECOND;
		this.last = now;
		double rate = this.settings.pollsPerSecond();
		this.allowance = Math.min(rate, this.allowance + elapsed * rate);
		List<Target> due = new ArrayList<>();
		for (Target target : this.targets.values()) {
			if (!target.busy && !target.next.isAfter(now)) {
				due.add(target);
			}
		}
		due.sort(Comparator.comparing((target) -> target.next));
		for (Target target : due) {
			if (this.allowance < 1 || this.inFlight.get() >= this.settings.inFlight()) {
				return;
			}
			this.allowance--;
			target.next = now.plus(delay());
			poll(target);
		}
	}

	private Duration delay() {
		double factor = 1 + this.settings.jitter() * (2 * this.random.nextDouble() - 1);
		return Duration.ofNanos((long) (this.settings.interval().toNanos() * factor));
	}

	private void poll(Target target) {
		this.inFlight.incrementAndGet();
		target.busy = true;
		this.engines.load(target.runner.address()).thenAccept((result) -> {
			this.inFlight.decrementAndGet();
			target.busy = false;
			accept(target, result);
		});
		if (target.polls++ % LOADS_PER_CACHE_POLL == 0) {
			this.engines.cacheEvents(target.runner.address(), target.cacheEvent)
				.thenAccept((result) -> acceptEvents(target, result));
		}
	}

	private void accept(Target target, Result<LoadReport> result) {
		if (result instanceof Result.Ok<LoadReport> ok && ok.value().runner().equals(target.runner.id())) {
			this.fleet.reported(ok.value());
		}
		else {
			this.fleet.failed(target.runner.id());
		}
	}

	private void acceptEvents(Target target, Result<CacheEvents> result) {
		if (result instanceof Result.Ok<CacheEvents> ok) {
			for (CacheEvent event : ok.value().events()) {
				this.fleet.cached(target.runner.id(), event.prefix(), event.stored());
			}
			// An engine that restarted numbers its events from 1 again.
			target.cacheEvent = Math.max(0, ok.value().next() - 1);
		}
	}

	private static final class Target {

		private final Runner runner;

		private Instant next;

		private int polls;

		private volatile boolean busy;

		private volatile long cacheEvent;

		Target(Runner runner, Instant next) {
			this.runner = runner;
			this.next = next;
		}

	}

}
