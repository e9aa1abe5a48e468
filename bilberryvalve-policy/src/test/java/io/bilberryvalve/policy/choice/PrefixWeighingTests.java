package io.bilberryvalve.policy.choice;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the choice between a runner that holds the prefix of a prompt and one that is
 * free sooner.
 */
class PrefixWeighingTests {

	private static final Duration VALIDITY = Duration.ofSeconds(100);

	private static final List<String> PREFIX = List.of("16", "32", "48", "64");

	private static final double PREFILL_SECONDS = 0.3;

	private static final double DECODE_SECONDS = 0.1;

	private final ManualClock clock = new ManualClock();

	private final PrefixIndex index = new PrefixIndex(this.clock, VALIDITY, 1000);

	private static RunnerId id(int runner) {
		return new RunnerId("r" + runner);
	}

	private double held(double freeFraction) {
		return this.index.cachedBlocks(id(0), PREFIX, freeFraction);
	}

	// Guards against knowledge of a cache that counts in full until it expires, while the
	// prefix is long evicted.
	@Example
	void prefixCountsLessWithAgeAndWithLessFreeMemory() {
		PREFIX.forEach((hash) -> this.index.recordStored(id(0), hash));
		assertThat(held(1)).isEqualTo(4);
		assertThat(held(0)).isZero();
		this.clock.advance(VALIDITY.dividedBy(4));
		assertThat(held(1)).isEqualTo(3);
		assertThat(held(0.1)).isEqualTo(2);
		assertThat(held(0.04)).isZero();
		this.clock.advance(VALIDITY);
		assertThat(held(1)).isZero();
	}

	// Guards against a short prefix that was stored again and hides a longer, older one.
	@Example
	void longerPrefixThatIsOlderCountsIfItSavesMore() {
		this.index.recordStored(id(0), "64");
		this.clock.advance(VALIDITY.dividedBy(2));
		this.index.recordStored(id(0), "16");
		assertThat(held(1)).isEqualTo(2);
	}

	// Guards against requests that wait for a busy holder longer than the prefix saves,
	// and against holders that are not used although they would answer sooner.
	@Example
	void holderIsChosenOnlyWhileItsWaitIsShorterThanTheSaving() {
		Fleet fleet = new Fleet(2, 1, true);
		fleet.store(0, 0);
		RunnerChooser chooser = new EstimatedLoadChooser(8);
		fleet.busyUntil[0] = fleet.now() + 0.9 * PREFILL_SECONDS;
		assertThat(chooser.choose(fleet, new Random(1))).isEqualTo(0);
		fleet.busyUntil[0] = fleet.now() + 1.1 * PREFILL_SECONDS;
		assertThat(chooser.choose(fleet, new Random(1))).isEqualTo(1);
		fleet.busyUntil[0] = fleet.now() + 0.1 * PREFILL_SECONDS;
		fleet.free[0] = 0;
		assertThat(chooser.choose(fleet, new Random(1))).isEqualTo(1);
	}

	// Load pattern: a third of the prompts begin alike, the others with one of many
	// prefixes, and each runner has memory for a few. Guards against a single holder that
	// all of them queue for, and against prefixes that are read again for each request.
	@Example
	void hotPrefixSpreadsAndOthersStayWhereTheyAreHeld() {
		for (int seed = 1; seed <= 5; seed++) {
			double weighed = new Fleet(8, seed, true).run(new EstimatedLoadChooser(2));
			double ignored = new Fleet(8, seed, false).run(new EstimatedLoadChooser(2));
			double followed = new Fleet(8, seed, true).run(PrefixWeighingTests::chooseHolder);
			assertThat(weighed).as("seed %d, prefixes ignored", seed).isLessThan(ignored);
			assertThat(weighed).as("seed %d, a holder followed", seed).isLessThan(followed);
		}
	}

	private static int chooseHolder(Candidates candidates, RandomGenerator random) {
		int[] holders = candidates.prefixHolders();
		return (holders.length > 0) ? holders[0] : CandidateSampler.draw(candidates, random);
	}

	/** Runners that serve one request after another, as one daemon sees them. */
	private static final class Fleet implements Candidates {

		private static final int REQUESTS = 4000;

		private static final double REQUESTS_PER_SECOND = 18;

		private static final int STEP_MILLIS = 1;

		private static final double HOT_FRACTION = 0.3;

		private static final int PREFIXES = 40;

		private static final int CACHED_PREFIXES = 8;

		private final ManualClock clock = new ManualClock();

		private final PrefixIndex index = new PrefixIndex(this.clock, VALIDITY, 100_000);

		private final double[] busyUntil;

		private final double[] free;

		private final Random random;

		private final boolean weighs;

		/** Prefixes that each runner holds, the one used longest ago first. */
		private final List<LinkedHashSet<Integer>> caches = new ArrayList<>();

		/** Prefix of the prompt for which a runner is chosen. */
		private int prefix;

		Fleet(int runners, long seed, boolean weighs) {
			this.busyUntil = new double[runners];
			this.free = new double[runners];
			Arrays.fill(this.free, 1);
			this.random = new Random(seed);
			this.weighs = weighs;
			for (int i = 0; i < runners; i++) {
				this.caches.add(new LinkedHashSet<>());
			}
		}

		private double now() {
			return this.clock.millis() / 1000.0;
		}

		// Returns the mean time to the end of a request, in seconds.
		double run(RunnerChooser chooser) {
			double sum = 0;
			int sent = 0;
			while (sent < REQUESTS) {
				this.clock.advance(Duration.ofMillis(STEP_MILLIS));
				if (this.random.nextDouble() < REQUESTS_PER_SECOND * STEP_MILLIS / 1000) {
					this.prefix = (this.random.nextDouble() < HOT_FRACTION) ? 0 : 1 + this.random.nextInt(PREFIXES);
					sum += send(chooser.choose(this, this.random));
					sent++;
				}
			}
			return sum / REQUESTS;
		}

		private double send(int runner) {
			boolean held = this.caches.get(runner).contains(this.prefix);
			double start = Math.max(now(), this.busyUntil[runner]);
			this.busyUntil[runner] = start + (held ? 0 : PREFILL_SECONDS) + DECODE_SECONDS;
			store(runner, this.prefix);
			return this.busyUntil[runner] - now();
		}

		private void store(int runner, int stored) {
			LinkedHashSet<Integer> cache = this.caches.get(runner);
			cache.remove(stored);
			cache.add(stored);
			this.index.recordStored(id(runner), hash(stored));
			if (cache.size() > CACHED_PREFIXES) {
				int evicted = cache.iterator().next();
				cache.remove(evicted);
				this.index.recordRemoved(id(runner), hash(evicted));
			}
		}

		private static String hash(int prefix) {
			return "p" + prefix;
		}

		@Override
		public int size() {
			return this.busyUntil.length;
		}

		@Override
		public int sample(double uniform) {
			return (int) (uniform * size());
		}

		@Override
		public boolean usable(int candidate, double uniform) {
			return true;
		}

		@Override
		public double reportedSeconds(int candidate) {
			return estimatedSeconds(candidate);
		}

		@Override
		public double estimatedSeconds(int candidate) {
			return Math.max(0, this.busyUntil[candidate] - now());
		}

		@Override
		public double outstanding(int candidate) {
			return estimatedSeconds(candidate);
		}

		@Override
		public double prefixSavingsSeconds(int candidate) {
			return this.weighs
					? PREFILL_SECONDS
							* this.index.cachedBlocks(id(candidate), List.of(hash(this.prefix)), this.free[candidate])
					: 0;
		}

		@Override
		public int[] prefixHolders() {
			int[] holders = this.index.holders(hash(this.prefix))
				.stream()
				.mapToInt((runner) -> Integer.parseInt(runner.value().substring(1)))
				.sorted()
				.toArray();
			return this.weighs ? CandidateSampler.few(holders, 3, this.random) : new int[0];
		}

	}

}
