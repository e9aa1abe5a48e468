package io.bilberryvalve.policy.silence;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;

import io.bilberryvalve.model.RunnerId;

/**
 * Finds the runners that may be the cause of a silent stream, that is a stream without
 * events. It is made for a lost card, on which many streams stop at the same moment. Each
 * event of another stream through a runner shows that the runner works. The common
 * silence of several streams is therefore stronger evidence than the silence of one, and
 * a shorter time suffices.
 */
public final class SuspectDetector {

	/**
	 * Fraction of the target gap after which a runner with a group of silent streams is
	 * suspected. A second attempt needs the rest of the gap to prefill the prompt.
	 */
	private static final double GROUP_GAP_FRACTION = 0.5;

	/**
	 * Fraction of the target gap after which a runner with two silent streams is
	 * suspected. It is larger than for a group, since both may wait for the same long
	 * prompt.
	 */
	private static final double PAIR_GAP_FRACTION = 0.75;

	/** Smallest number of streams whose common silence is not taken for a coincidence. */
	private static final int MIN_GROUP_STREAMS = 3;

	private SuspectDetector() {
	}

	/**
	 * Finds the suspects on the path of a silent stream.
	 * @param path silence of each runner on the path of the stream
	 * @param targetGapMillis longest pause between events that is still on time
	 * @param backlogMillis time that the runners need to prefill the prompts sent to
	 * them; events are late meanwhile
	 * @return runners through which no stream has had an event for too long; empty if the
	 * silence may be a normal pause
	 */
	public static Set<RunnerId> suspects(Collection<RunnerSilence> path, long targetGapMillis, long backlogMillis) {
		return path.stream()
			.filter((silence) -> isSuspect(silence, targetGapMillis, backlogMillis))
			.map(RunnerSilence::runner)
			.collect(Collectors.toSet());
	}

	private static boolean isSuspect(RunnerSilence silence, long targetGapMillis, long backlogMillis) {
		double fraction = (silence.streams() >= MIN_GROUP_STREAMS) ? GROUP_GAP_FRACTION : PAIR_GAP_FRACTION;
		return silence.streams() > 1 && silence.millis() >= fraction * targetGapMillis + backlogMillis;
	}

}
