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
 * Polls the load reports and the cache events of the runners and keeps the chain plan up
 * to date. One background thread must call {@link #tick()} at least every 100 ms; the
 * call does not wait for answers.
 */
public final class LoadMonitor {

	/** Number of load polls of a runner for each poll of its cache events. */
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

	private FederationConfiguration targetConfiguration = FederationConfiguration.empty();

	private Instant lastPlannedAt = Instant.MIN;

	private Instant lastTickAt;

	private double availablePolls;

	/**
	 * Creates a monitor.
	 * @param fleet receives the load reports, cache events and failures
	 * @param engines client of the engines
	 * @param configuration source of the configuration in force
	 * @param clock clock that decides when polls and plans are due
	 * @param random source of the jitter
	 * @param settings intervals and limits of polling
	 */
	public LoadMonitor(RunnerFleet fleet, EngineClient engines, ConfigurationSource configuration, Clock clock,
			RandomGenerator random, LoadMonitorSettings settings) {
		this.fleet = fleet;
		this.engines = engines;
		this.configuration = configuration;
		this.clock = clock;
		this.random = random;
		this.settings = settings;
		this.lastTickAt = clock.instant();
	}

	/**
	 * Starts the polls that are due, and plans the chains again if their inputs have
	 * changed or the last plan is too old.
	 */
	public void tick() {
		Instant now = this.clock.instant();
		if (this.targetConfiguration != this.configuration.current()) {
			updateTargets(this.configuration.current(), now);
		}
		pollDueTargets(now);
		if (this.lastPlannedAt.isBefore(now.minus(this.settings.replanInterval()))) {
			this.fleet.replan();
			this.lastPlannedAt = now;
		}
		else {
			this.fleet.replanIfChanged();
		}
	}

	private void updateTargets(FederationConfiguration next, Instant now) {
		this.targetConfiguration = next;
		Map<RunnerId, Target> old = new HashMap<>(this.targets);
		this.targets.clear();
		for (Runner runner : next.federation().runners()) {
			Target target = old.get(runner.id());
			boolean same = target != null && target.runner.equals(runner);
			this.targets.put(runner.id(), same ? target : new Target(runner, now));
		}
	}

	private void pollDueTargets(Instant now) {
		double elapsed = Duration.between(this.lastTickAt, now).toMillis() / MILLIS_PER_SECOND;
		this.lastTickAt = now;
		double rate = this.settings.maxPollsPerSecond();
		this.availablePolls = Math.min(rate, this.availablePolls + elapsed * rate);
		List<Target> due = new ArrayList<>();
		for (Target target : this.targets.values()) {
			if (!target.pollInFlight && !target.nextPollAt.isAfter(now)) {
				due.add(target);
			}
		}
		due.sort(Comparator.comparing((target) -> target.nextPollAt));
		for (Target target : due) {
			if (this.availablePolls < 1 || this.inFlight.get() >= this.settings.maxInFlight()) {
				return;
			}
			this.availablePolls--;
			target.nextPollAt = now.plus(jitteredInterval());
			poll(target);
		}
	}

	private Duration jitteredInterval() {
		double factor = 1 + this.settings.jitter() * (2 * this.random.nextDouble() - 1);
		return Duration.ofNanos((long) (this.settings.interval().toNanos() * factor));
	}

	private void poll(Target target) {
		this.inFlight.incrementAndGet();
		target.pollInFlight = true;
		this.engines.fetchLoad(target.runner.address()).thenAccept((result) -> {
			this.inFlight.decrementAndGet();
			target.pollInFlight = false;
			handleLoad(target, result);
		});
		// The answer to an earlier poll must not replace the position of a later one.
		if (target.pollCount++ % LOADS_PER_CACHE_POLL == 0 && !target.cachePollInFlight) {
			target.cachePollInFlight = true;
			this.engines.fetchCacheEvents(target.runner.address(), target.lastCacheEvent).thenAccept((result) -> {
				handleCacheEvents(target, result);
				target.cachePollInFlight = false;
			});
		}
	}

	private void handleLoad(Target target, Result<LoadReport> result) {
		if (result instanceof Result.Ok<LoadReport> ok && ok.value().runner().equals(target.runner.id())) {
			this.fleet.recordLoad(ok.value());
		}
		else {
			this.fleet.recordFailure(target.runner.id());
		}
	}

	private void handleCacheEvents(Target target, Result<CacheEvents> result) {
		if (result instanceof Result.Ok<CacheEvents> ok) {
			for (CacheEvent event : ok.value().events()) {
				this.fleet.recordCacheEvent(target.runner.id(), event.prefix(), event.stored());
			}
			// The number may be lower than before: an engine that restarted numbers its
			// events from 1 again.
			target.lastCacheEvent = Math.max(0, ok.value().nextSequence() - 1);
		}
	}

	private static final class Target {

		private final Runner runner;

		private Instant nextPollAt;

		private int pollCount;

		private volatile boolean pollInFlight;

		private volatile boolean cachePollInFlight;

		private volatile long lastCacheEvent;

		Target(Runner runner, Instant next) {
			this.runner = runner;
			this.nextPollAt = next;
		}

	}

}
