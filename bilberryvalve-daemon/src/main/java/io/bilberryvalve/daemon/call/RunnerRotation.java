package io.bilberryvalve.daemon.call;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.RunnerId;

/**
 * Orders the runners of an application for a call, round-robin. A runner that refused a
 * connection is moved to the end of the order for 1 s.
 */
public final class RunnerRotation {

	private static final Duration REFUSAL_PAUSE = Duration.ofSeconds(1);

	private final ConfigurationSource configuration;

	private final Clock clock;

	private final Predicate<Address> isLeaving;

	private final AtomicInteger nextIndex = new AtomicInteger();

	private final Map<RunnerId, Instant> pausedUntil = new ConcurrentHashMap<>();

	/**
	 * Creates a rotation over all configured runners.
	 * @param configuration provides the runners
	 * @param clock monotonic clock
	 */
	public RunnerRotation(ConfigurationSource configuration, Clock clock) {
		this(configuration, clock, (address) -> false);
	}

	/**
	 * Creates a rotation that skips the runners on VMs that are shutting down.
	 * @param configuration provides the runners
	 * @param clock monotonic clock
	 * @param isLeaving whether the VM at an address is shutting down
	 */
	public RunnerRotation(ConfigurationSource configuration, Clock clock, Predicate<Address> isLeaving) {
		this.configuration = configuration;
		this.clock = clock;
		this.isLeaving = isLeaving;
	}

	/**
	 * Returns the runners of an application in the order in which to try them.
	 * @param application the application
	 * @return the runners, with those that recently refused a connection last; empty if
	 * the application has no runner on a VM that stays
	 */
	public List<ApplicationRunner> candidates(ApplicationId application) {
		List<ApplicationRunner> runners = this.configuration.current()
			.federation()
			.applicationRunners()
			.stream()
			.filter((runner) -> runner.application().equals(application) && !this.isLeaving.test(runner.address()))
			.toList();
		List<ApplicationRunner> available = new ArrayList<>();
		List<ApplicationRunner> paused = new ArrayList<>();
		int start = Math.floorMod(this.nextIndex.getAndIncrement(), Math.max(1, runners.size()));
		Instant now = this.clock.instant();
		for (int i = 0; i < runners.size(); i++) {
			ApplicationRunner runner = runners.get((start + i) % runners.size());
			boolean isPaused = now.isBefore(this.pausedUntil.getOrDefault(runner.id(), Instant.MIN));
			(isPaused ? paused : available).add(runner);
		}
		available.addAll(paused);
		return available;
	}

	/**
	 * Records the result of an attempt to connect to a runner.
	 * @param runner the runner
	 * @param connected whether it accepted the connection
	 */
	public void recordAttempt(RunnerId runner, boolean connected) {
		if (connected) {
			this.pausedUntil.remove(runner);
		}
		else {
			this.pausedUntil.put(runner, this.clock.instant().plus(REFUSAL_PAUSE));
		}
	}

}
