package io.bilberryvalve.policy.path;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class PaceEstimatorTests {

	private static final RunnerId SLOW = new RunnerId("slow");

	private static final RunnerId SOUND = new RunnerId("sound");

	private static final RunnerId OTHER = new RunnerId("other");

	/** Expected time between two events of a path of two runners. */
	private static final long EVENT_MILLIS = 60;

	private final ManualClock clock = new ManualClock();

	private final PaceEstimator estimator = new PaceEstimator(this.clock);

	private static LayerPath path(RunnerId one, RunnerId two) {
		return new LayerPath(List.of(new LayerPath.Hop(one, new LayerRange(0, 2), EVENT_MILLIS / 2.0),
				new LayerPath.Hop(two, new LayerRange(2, 4), EVENT_MILLIS / 2.0)), 100, 30, EVENT_MILLIS);
	}

	private List<PaceEstimator.StreamPace> track(LayerPath... paths) {
		return Stream.of(paths).map(this.estimator::track).toList();
	}

	// Lets one event of each stream arrive together, as often as fits into the time.
	private void play(List<PaceEstimator.StreamPace> streams, long eventMillis, long millis) {
		for (long passed = 0; passed + eventMillis <= millis; passed += eventMillis) {
			this.clock.advance(Duration.ofMillis(eventMillis));
			streams.forEach(PaceEstimator.StreamPace::recordEvent);
			streams.forEach((stream) -> stream.update(this.clock.millis(), 0));
		}
	}

	@Example
	void slowRunnerIsFoundWithinASecond() {
		List<PaceEstimator.StreamPace> streams = track(path(SLOW, SOUND));
		play(streams, EVENT_MILLIS, 1000);
		assertThat(this.estimator.hasSlowRunners()).isFalse();
		play(streams, 4 * EVENT_MILLIS, 1440);
		assertThat(this.estimator.slowdown(SLOW)).isCloseTo(4, within(0.3));
	}

	// Guards against a healthy runner that is rated as slow because of another runner on
	// the same path. Half of the time of the path is that of the slow runner, which
	// accounts for all of the excess.
	@Example
	void healthyRunnerOnASlowPathIsNotSlow() {
		List<PaceEstimator.StreamPace> slow = track(path(SLOW, SOUND));
		List<PaceEstimator.StreamPace> sound = track(path(SOUND, OTHER));
		for (int i = 0; i < 12; i++) {
			play(slow, 3 * EVENT_MILLIS, 3 * EVENT_MILLIS);
			sound.forEach((stream) -> {
				for (int event = 0; event < 3; event++) {
					stream.recordEvent();
				}
				stream.update(this.clock.millis(), 0);
			});
		}
		assertThat(this.estimator.slowdown(SOUND)).isEqualTo(1);
		assertThat(this.estimator.slowdown(OTHER)).isEqualTo(1);
		assertThat(this.estimator.slowdown(SLOW)).isCloseTo(5, within(0.3));
		assertThat(this.estimator.slowCount()).isEqualTo(1);
	}

	// Guards against runners that are rated as slow because load lengthens their steps,
	// and because of one long gap.
	@Example
	void loadAndOneLongGapMakeNoRunnerSlow() {
		List<PaceEstimator.StreamPace> streams = track(path(SLOW, SOUND));
		play(streams, EVENT_MILLIS * 14 / 10, 5000);
		assertThat(this.estimator.hasSlowRunners()).isFalse();
		play(streams, 1200, 1200);
		play(streams, EVENT_MILLIS, 300);
		assertThat(this.estimator.hasSlowRunners()).isFalse();
	}

	// Guards against a daemon that rates runners as slow after a pause of its own.
	@Example
	void pauseOfTheDaemonIsNoSample() {
		List<PaceEstimator.StreamPace> streams = track(path(SLOW, SOUND));
		for (int i = 0; i < 4; i++) {
			this.clock.advance(Duration.ofMillis(900));
			long now = this.clock.millis();
			streams.forEach(PaceEstimator.StreamPace::recordEvent);
			streams.forEach((stream) -> stream.update(now, now - 10));
		}
		assertThat(this.estimator.hasSlowRunners()).isFalse();
	}

	// Guards against a recovered runner that stays unused, and against all requests of a
	// daemon that return at once to a runner that is still slow.
	@Example
	void expiredEstimateIsTriedByOneRequestAtATime() {
		LayerPath path = path(SLOW, SOUND);
		play(track(path), 4 * EVENT_MILLIS, 1440);
		this.clock.advance(Duration.ofMillis(PaceEstimator.LIFETIME_MILLIS - 1));
		assertThat(this.estimator.slowdown(SLOW)).isGreaterThan(3);
		this.clock.advance(Duration.ofMillis(1));
		assertThat(this.estimator.slowdown(SLOW)).isEqualTo(1);
		this.estimator.recordChoice(path);
		assertThat(this.estimator.slowdown(SLOW)).isGreaterThan(3);
		play(track(path), 4 * EVENT_MILLIS, 960);
		assertThat(this.estimator.slowdown(SLOW)).isGreaterThan(3);
		this.clock.advance(Duration.ofMillis(PaceEstimator.LIFETIME_MILLIS));
		this.estimator.recordChoice(path);
		play(track(path), EVENT_MILLIS, 300);
		assertThat(this.estimator.slowdown(SLOW)).isEqualTo(1);
		assertThat(this.estimator.hasSlowRunners()).isFalse();
	}

	// Guards against a runner that is avoided forever because the request that tried it
	// ended without a sample.
	@Example
	void trialWithoutResultIsRepeated() {
		LayerPath path = path(SLOW, SOUND);
		play(track(path), 4 * EVENT_MILLIS, 1440);
		this.clock.advance(Duration.ofMillis(PaceEstimator.LIFETIME_MILLIS));
		this.estimator.recordChoice(path);
		this.clock.advance(Duration.ofMillis(PaceEstimator.LIFETIME_MILLIS));
		assertThat(this.estimator.slowdown(SLOW)).isEqualTo(1);
		this.estimator.retain((runner) -> false);
		assertThat(this.estimator.slowCount()).isZero();
	}

}
