package io.bilberryvalve.policy.path;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays streams on a paused clock while some runners are slower than their profile
 * says.
 */
class SlowRunnerReplayTests {

	private static final long TICK_MILLIS = 5;

	private static final long SLOW_FROM = 4000;

	private static final long SLOW_UNTIL = 12000;

	private static final long END = 24000;

	private static final int SLOW_RUNNERS = 6;

	/** Events of a stream with the typical number of tokens, two in each event. */
	private static final int EVENTS = 86;

	private static final int[] SEEDS = { 1, 2 };

	/** Times between two requests, from light load to about as much as fits. */
	private static final long[] ARRIVAL_INTERVALS_MILLIS = { 20, 10, 5 };

	// Guards against a choice that relies on the profile while runners are 3 to 12 times
	// slower. The same runners are slow in both replays.
	@Example
	void slowRunnersGetFewerRequestsAndRecoveredOnesReturn() {
		Sums before = new Sums();
		Sums after = new Sums();
		for (long interval : ARRIVAL_INTERVALS_MILLIS) {
			for (int seed : SEEDS) {
				Map<RunnerId, Integer> slow = slowRunners(seed, interval);
				Replay profile = new Replay(slow, interval, false);
				Replay estimates = new Replay(slow, interval, true);
				before.add(profile);
				after.add(estimates);
				assertThat(estimates.usedAgain).containsAll(profile.usedAgain);
			}
		}
		System.getLogger(SlowRunnerReplayTests.class.getName())
			.log(System.Logger.Level.INFO, "without estimates: {0}; with estimates: {1}", before, after);
		assertThat(after.meanMillis).isLessThan(before.meanMillis);
		assertThat(after.percentileMillis).isLessThan(before.percentileMillis);
		assertThat(after.sentToSlow).isLessThan(before.sentToSlow);
	}

	// Draws from the runners that have requests under the same load when none is slow.
	private static Map<RunnerId, Integer> slowRunners(int seed, long interval) {
		Replay idle = new Replay(Map.of(), interval, false);
		while (idle.now() < SLOW_FROM) {
			idle.tick();
		}
		List<RunnerId> used = new ArrayList<>(idle.fleet.holders()
			.stream()
			.map(LayerHolder::runner)
			.filter((runner) -> idle.fleet.of(runner).running() > 0)
			.sorted(Comparator.comparing(RunnerId::value))
			.toList());
		Random random = new Random(seed);
		Collections.shuffle(used, random);
		return used.stream()
			.limit(SLOW_RUNNERS)
			.collect(Collectors.toMap(Function.identity(), (runner) -> 3 + random.nextInt(10)));
	}

	/** Sums over the replays. */
	private static final class Sums {

		private double meanMillis;

		private long percentileMillis;

		private int sentToSlow;

		private double wronglyRated;

		private int replays;

		void add(Replay replay) {
			replay.run();
			this.meanMillis += replay.meanMillis();
			this.percentileMillis += replay.percentileMillis(95);
			this.sentToSlow += replay.sentToSlow;
			this.wronglyRated += (double) replay.wronglyRated / replay.ticks;
			this.replays++;
		}

		@Override
		public String toString() {
			return String.format(
					"mean time of a stream %.0f ms, 95th percentile %d ms, requests at slow runners %d, healthy runners rated as slow %.1f",
					this.meanMillis / this.replays, this.percentileMillis / this.replays, this.sentToSlow,
					this.wronglyRated / this.replays);
		}

	}

	/** One replay. */
	private static final class Replay {

		private final PathFleet fleet = new PathFleet();

		private final ManualClock clock = new ManualClock();

		private final PathChooser chooser = new PathChooser(this.fleet.profile());

		private final PaceEstimator estimator = new PaceEstimator(this.clock);

		/** Slow runners with the factors by which they are slower. */
		private final Map<RunnerId, Integer> slow;

		private final long interval;

		private final boolean estimates;

		private final List<ReplayedStream> streams = new ArrayList<>();

		private final Set<RunnerId> usedAgain = new HashSet<>();

		private int sentToSlow;

		private int wronglyRated;

		private int ticks;

		private final List<Long> millis = new ArrayList<>();

		Replay(Map<RunnerId, Integer> slow, long interval, boolean estimates) {
			this.slow = slow;
			this.interval = interval;
			this.estimates = estimates;
		}

		long now() {
			return this.clock.millis();
		}

		boolean isSlow(RunnerId runner) {
			return this.slow.containsKey(runner) && now() >= SLOW_FROM && now() < SLOW_UNTIL;
		}

		double meanMillis() {
			return this.millis.stream().mapToLong(Long::longValue).average().orElseThrow();
		}

		long percentileMillis(int percent) {
			return this.millis.stream().sorted().toList().get(this.millis.size() * percent / 100);
		}

		void run() {
			while (now() < END) {
				tick();
			}
		}

		void tick() {
			this.clock.advance(Duration.ofMillis(TICK_MILLIS));
			if (now() % this.interval == 0) {
				arrive();
			}
			List<ReplayedStream> complete = this.streams.stream().filter((stream) -> stream.advance(this)).toList();
			complete.forEach(this::end);
			this.streams.removeAll(complete);
			this.ticks++;
			this.fleet.holders().forEach((holder) -> {
				boolean healthy = !this.slow.containsKey(holder.runner());
				this.wronglyRated += (healthy && this.estimator.slowdown(holder.runner()) > 1) ? 1 : 0;
			});
		}

		private void end(ReplayedStream stream) {
			this.fleet.remove(stream.path);
			if (stream.startedAt >= SLOW_FROM && stream.startedAt < SLOW_UNTIL) {
				this.millis.add(now() - stream.startedAt);
			}
		}

		private void arrive() {
			List<LayerHolder> holders = this.fleet.holders();
			if (this.estimates) {
				holders = holders.stream()
					.map((holder) -> holder.withSlowdown(this.estimator.slowdown(holder.runner())))
					.toList();
			}
			LayerPath path = this.chooser.choose(holders, this.fleet, this.fleet.typical(), (runner) -> true)
				.orElseThrow();
			this.estimator.recordChoice(path);
			this.fleet.add(path);
			this.streams.add(new ReplayedStream(path, this.estimator.track(path), now()));
			path.hops().stream().map(LayerPath.Hop::runner).filter(this.slow::containsKey).forEach(this::recordUse);
		}

		private void recordUse(RunnerId runner) {
			if (isSlow(runner)) {
				this.sentToSlow++;
			}
			else if (now() >= SLOW_UNTIL) {
				this.usedAgain.add(runner);
			}
		}

	}

	/** A stream whose events take the time that its runners really need. */
	private static final class ReplayedStream {

		private final LayerPath path;

		private final PaceEstimator.StreamPace pace;

		private final long startedAt;

		private int remainingEvents = EVENTS;

		private double millisToNext;

		ReplayedStream(LayerPath path, PaceEstimator.StreamPace pace, long now) {
			this.path = path;
			this.pace = pace;
			this.startedAt = now;
			this.millisToNext = path.eventMillis();
		}

		// Returns whether the stream has ended.
		boolean advance(Replay replay) {
			this.millisToNext -= TICK_MILLIS / factor(replay);
			for (; this.millisToNext <= 0 && this.remainingEvents > 0; this.remainingEvents--) {
				this.millisToNext += this.path.eventMillis();
				this.pace.recordEvent();
			}
			this.pace.update(replay.now(), 0);
			return this.remainingEvents == 0;
		}

		private double factor(Replay replay) {
			double millis = this.path.eventMillis();
			for (LayerPath.Hop hop : this.path.hops()) {
				if (replay.isSlow(hop.runner())) {
					millis += hop.eventMillis() * (replay.slow.get(hop.runner()) - 1);
				}
			}
			return millis / this.path.eventMillis();
		}

	}

}
