package io.bilberryvalve.gateway.fleet;

import java.time.Duration;
import java.util.List;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.silence.RunnerSilence;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ProgressTrackerTests {

	private static final RunnerId ONE = new RunnerId("one");

	private static final RunnerId TWO = new RunnerId("two");

	private final ManualClock clock = new ManualClock();

	private final ProgressTracker tracker = new ProgressTracker(this.clock);

	private void advance(long millis) {
		this.clock.advance(Duration.ofMillis(millis));
	}

	@Example
	void eventEndsTheSilenceOfEachRunnerOnThePath() {
		ProgressTracker.StreamProgress both = this.tracker.track(List.of(ONE, TWO));
		ProgressTracker.StreamProgress second = this.tracker.track(List.of(TWO));
		advance(100);
		second.recordEvent();
		advance(20);
		assertThat(this.tracker.silences(List.of(ONE, TWO))).containsExactly(new RunnerSilence(ONE, 120, 1),
				new RunnerSilence(TWO, 20, 2));
		both.stop();
		both.stop();
		assertThat(this.tracker.silences(List.of(TWO))).containsExactly(new RunnerSilence(TWO, 20, 1));
	}

	// Guards against moving all streams to other runners after a pause of this daemon.
	@Example
	void pauseOfThisDaemonDoesNotCountAsSilence() {
		this.tracker.track(List.of(ONE));
		advance(3000);
		this.tracker.resetSilence();
		advance(30);
		assertThat(this.tracker.silences(List.of(ONE))).containsExactly(new RunnerSilence(ONE, 30, 1));
		assertThat(this.tracker.silenceSince(0)).isEqualTo(30);
	}

	// Guards against new requests on a path from which all streams have just moved away.
	@Example
	void suspicionEndsWithAnEventOrAfterAWhile() {
		ProgressTracker.StreamProgress stream = this.tracker.track(List.of(ONE, TWO));
		advance(100);
		assertThat(this.tracker.markSuspected(List.of(ONE, TWO))).isTrue();
		assertThat(this.tracker.markSuspected(List.of(ONE))).isFalse();
		stream.stop();
		advance(500);
		assertThat(this.tracker.isSuspected(ONE)).isTrue();
		this.tracker.track(List.of(ONE));
		assertThat(this.tracker.isSuspected(ONE)).isFalse();
		assertThat(this.tracker.isSuspected(TWO)).isTrue();
		advance(500);
		assertThat(this.tracker.isSuspected(TWO)).isFalse();
	}

	// Guards against estimates that ignore events which arrive together, and against
	// samples that include a pause of this daemon.
	@Example
	void paceOfStreamsIsMeasured() {
		LayerPath path = new LayerPath(List.of(new LayerPath.Hop(ONE, new LayerRange(0, 4), 50)), 100, 25, 50);
		ProgressTracker.StreamProgress stream = this.tracker.track(List.of(ONE), path);
		for (int i = 0; i < 10; i++) {
			advance(100);
			stream.countEvent();
			stream.countEvent();
			stream.recordEvent();
		}
		assertThat(this.tracker.paceEstimator().hasSlowRunners()).isFalse();
		for (int i = 0; i < 10; i++) {
			advance(200);
			this.tracker.resetSilence();
			advance(100);
			stream.countEvent();
			stream.recordEvent();
		}
		assertThat(this.tracker.paceEstimator().hasSlowRunners()).isFalse();
		for (int i = 0; i < 10; i++) {
			advance(150);
			stream.countEvent();
			stream.recordEvent();
		}
		assertThat(this.tracker.paceEstimator().slowdown(ONE)).isEqualTo(3);
		this.tracker.retain(FleetSnapshot.EMPTY);
		assertThat(this.tracker.paceEstimator().hasSlowRunners()).isFalse();
	}

}
