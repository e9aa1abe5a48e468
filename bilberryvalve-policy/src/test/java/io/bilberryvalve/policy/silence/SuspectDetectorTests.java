package io.bilberryvalve.policy.silence;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectDetectorTests {

	private static final int GAP = 200;

	private static RunnerSilence silence(String runner, long millis, int streams) {
		return new RunnerSilence(new RunnerId(runner), millis, streams);
	}

	// A card is lost: two copies of the model share the first runner, and the lost one
	// belongs to one copy only. Guards against avoiding a runner from which other streams
	// still have events.
	@Example
	void runnerWithEventsOfOtherStreamsIsCleared() {
		List<RunnerSilence> path = List.of(silence("shared", 12, 20), silence("lost", 110, 10),
				silence("next", 108, 10));
		assertThat(SuspectDetector.suspects(path, GAP, 0))
			.isEqualTo(Set.of(new RunnerId("lost"), new RunnerId("next")));
	}

	// Pauses without any fault, of which the longest is 93 ms with a target gap of 200
	// ms.
	@Example
	void normalPausesRaiseNoSuspicion() {
		List<RunnerSilence> path = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			path.add(silence("r" + i, 60 + 3L * i, 10));
		}
		assertThat(SuspectDetector.suspects(path, GAP, 0)).isEmpty();
	}

	// Guards against a second attempt for a stream when only its own connection is slow.
	@Example
	void silenceOfOneStreamRaisesNoSuspicion() {
		assertThat(SuspectDetector.suspects(List.of(silence("only", 190, 1)), GAP, 0)).isEmpty();
	}

	// After the loss of a card, the prompts of its streams are prefilled again on the
	// other copies, whose own streams pause meanwhile. Guards against moving those
	// streams too.
	@Example
	void silenceDuringPrefillRaisesNoSuspicion() {
		List<RunnerSilence> path = List.of(silence("reading", 180, 12));
		assertThat(SuspectDetector.suspects(path, GAP, 120)).isEmpty();
		assertThat(SuspectDetector.suspects(path, GAP, 20)).hasSize(1);
	}

	@Example
	void twoStreamsNeedMoreTimeThanMany() {
		assertThat(SuspectDetector.suspects(List.of(silence("pair", 140, 2)), GAP, 0)).isEmpty();
		assertThat(SuspectDetector.suspects(List.of(silence("pair", 150, 2)), GAP, 0)).hasSize(1);
		assertThat(SuspectDetector.suspects(List.of(silence("many", 100, 3)), GAP, 0)).hasSize(1);
	}

}
