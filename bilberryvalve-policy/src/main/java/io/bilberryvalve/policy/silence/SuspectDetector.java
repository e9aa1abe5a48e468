package io.bilberryvalve.policy.silence;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;

import io.bilberryvalve.model.RunnerId;

/**
 * Finds the runners that may be the cause of a silent stream. Answers the load pattern of
 * a lost card on which many streams stop at the same moment: a runner is cleared by each
 * event of another stream that passes it, so that silence of several streams together
 * tells more, sooner, than the silence of one.
 */
public final class SuspectDetector {

	/**
	 * Part of the target gap after which streams that are silent together are. A second
	 * attempt needs the rest of the gap to read the prompt.
	 */
	private static final double GROUP_GAP_FRACTION = 0.5;

	/**
	 * Part of the target gap after which a pair of streams is; both may wait for the same
	 * long prompt.
	 */
	private static final double PAIR_GAP_FRACTION = 0.75;

	/** Streams whose common silence is no coincidence. */
	private static final int MIN_GROUP_STREAMS = 3;

	private SuspectDetector() {
	}

	/**
	 * Finds the suspects on the path of a silent stream.
	 * @param path the runners that the stream passes
	 * @param targetGapMillis longest pause of a stream that is on time
	 * @param backlogMillis time that the runners need to read the prompts sent to them,
	 * during which events come late
	 * @return runners from which no stream has had an event for too long; empty if the
	 * silence may be a usual pause
	 */
	public static Set<RunnerId> suspects(Collection<RunnerSilence> path, long targetGapMillis, long backlogMillis) {
		return path.stream()
			.filter((silence) -> isSuspect(silence, targetGapMillis, backlogMillis))
			.map(RunnerSilence::runner)
			.collect(Collectors.toSet());
	}

	private static boolean isSuspect(RunnerSilence silence, long targetGapMillis, long backlogMillis) {
		double part = (silence.streams() >= MIN_GROUP_STREAMS) ? GROUP_GAP_FRACTION : PAIR_GAP_FRACTION;
		return silence.streams() > 1 && silence.millis() >= part * targetGapMillis + backlogMillis;
	}

}
