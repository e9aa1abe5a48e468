package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.PaceEstimator;
import io.bilberryvalve.policy.silence.RunnerSilence;
import org.jspecify.annotations.Nullable;

/**
 * Tracks when each runner last produced an event for a stream of this daemon, and which
 * runners are suspected because their streams are silent. Also measures the pace of the
 * streams. Safe for use by several threads.
 */
public final class ProgressTracker {

	/**
	 * Time for which a suspected runner gets no requests. A stall report identifies the
	 * cause of a stall well within it.
	 */
	private static final long SUSPECT_MILLIS = 1000;

	private final Clock clock;

	private final Map<RunnerId, RunnerProgress> runners = new ConcurrentHashMap<>();

	private final PaceEstimator paceEstimator;

	private volatile long runningSince;

	/**
	 * Creates a tracker without runners.
	 * @param clock monotonic clock
	 */
	public ProgressTracker(Clock clock) {
		this.clock = clock;
		this.paceEstimator = new PaceEstimator(clock);
		this.runningSince = clock.millis();
	}

	/**
	 * Returns the estimates of how much slower runners are than their profile says.
	 * @return the estimator, to which the tracked streams contribute
	 */
	public PaceEstimator paceEstimator() {
		return this.paceEstimator;
	}

	/**
	 * Starts to track a stream that has had its first event, without measuring its pace.
	 * @param path runners on the path of the stream
	 * @return progress of the stream, on which the caller records each further event
	 */
	public StreamProgress track(List<RunnerId> path) {
		return track(path, null);
	}

	/**
	 * Starts to track a stream that has had its first event.
	 * @param path runners on the path of the stream
	 * @param layerPath the same path with its expected times, or {@code null} if the pace
	 * of the stream is not measured
	 * @return progress of the stream, on which the caller records each further event
	 */
	public StreamProgress track(List<RunnerId> path, @Nullable LayerPath layerPath) {
		StreamProgress stream = new StreamProgress(
				path.stream().map((id) -> this.runners.computeIfAbsent(id, RunnerProgress::new)).toList(),
				(layerPath != null) ? this.paceEstimator.track(layerPath) : null);
		stream.path.forEach((progress) -> progress.streams.incrementAndGet());
		stream.recordEvent();
		return stream;
	}

	/**
	 * Restarts all silences. Call it when this daemon was paused, since silence up to
	 * then does not show that a runner has stalled.
	 */
	public void resetSilence() {
		this.runningSince = this.clock.millis();
	}

	/**
	 * Returns the time since a moment, or since the last pause of this daemon if that is
	 * later.
	 * @param millis the moment, on the clock of this tracker
	 * @return milliseconds
	 */
	public long silenceSince(long millis) {
		return this.clock.millis() - Math.max(millis, this.runningSince);
	}

	/**
	 * Returns how long runners have been silent.
	 * @param path identifiers of the runners
	 * @return silence of each of these runners that has had streams, in the same order
	 */
	public List<RunnerSilence> silences(List<RunnerId> path) {
		return path.stream()
			.map(this.runners::get)
			.filter((progress) -> progress != null)
			.map((progress) -> new RunnerSilence(progress.runner, Math.max(0, silenceSince(progress.lastEventAt)),
					Math.max(0, progress.streams.get())))
			.toList();
	}

	/**
	 * Marks runners as suspected for a fixed time, or until a stream has an event from
	 * them.
	 * @param suspects identifiers of the runners
	 * @return whether any of them was not suspected before
	 */
	public boolean markSuspected(Collection<RunnerId> suspects) {
		long now = this.clock.millis();
		boolean changed = false;
		for (RunnerId suspect : suspects) {
			RunnerProgress progress = this.runners.get(suspect);
			if (progress != null && !progress.isSuspected(now)) {
				progress.suspectedAt = now;
				changed = true;
			}
		}
		return changed;
	}

	/**
	 * Returns whether a runner is suspected at present.
	 * @param runner identifier of the runner
	 * @return whether it should get no requests
	 */
	public boolean isSuspected(RunnerId runner) {
		RunnerProgress progress = this.runners.get(runner);
		return progress != null && progress.isSuspected(this.clock.millis());
	}

	/**
	 * Removes the state of runners that are no longer known.
	 * @param fleet the runners that are known now
	 */
	public void retain(FleetSnapshot fleet) {
		this.runners.keySet().removeIf((id) -> fleet.find(id).isEmpty());
		this.paceEstimator.retain((id) -> fleet.find(id).isPresent());
	}

	/** Progress of all streams through one runner. */
	private static final class RunnerProgress {

		private final RunnerId runner;

		private final AtomicInteger streams = new AtomicInteger();

		private volatile long lastEventAt;

		private volatile long suspectedAt = Long.MIN_VALUE / 2;

		RunnerProgress(RunnerId runner) {
			this.runner = runner;
		}

		boolean isSuspected(long now) {
			return now - this.suspectedAt < SUSPECT_MILLIS && this.lastEventAt <= this.suspectedAt;
		}

	}

	/**
	 * Progress of one stream. Not safe for use by several threads.
	 */
	public final class StreamProgress {

		private final List<RunnerProgress> path;

		private final PaceEstimator.@Nullable StreamPace pace;

		private boolean stopped;

		private StreamProgress(List<RunnerProgress> path, PaceEstimator.@Nullable StreamPace pace) {
			this.path = path;
			this.pace = pace;
		}

		/**
		 * Counts an event for the pace of the stream. Several events may arrive together,
		 * after which {@link #recordEvent} is called once.
		 */
		public void countEvent() {
			PaceEstimator.StreamPace current = this.pace;
			if (current != null) {
				current.recordEvent();
			}
		}

		/** Records that one or more events have arrived. */
		public void recordEvent() {
			long now = ProgressTracker.this.clock.millis();
			this.path.forEach((progress) -> progress.lastEventAt = now);
			PaceEstimator.StreamPace current = this.pace;
			if (current != null) {
				current.update(now, ProgressTracker.this.runningSince);
			}
		}

		/**
		 * Stops tracking, because the stream has ended or moved to another path. Further
		 * calls have no effect.
		 */
		public void stop() {
			if (!this.stopped) {
				this.stopped = true;
				this.path.forEach((progress) -> progress.streams.decrementAndGet());
			}
		}

	}

}
