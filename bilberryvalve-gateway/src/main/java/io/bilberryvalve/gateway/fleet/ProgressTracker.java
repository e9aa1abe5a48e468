package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.silence.RunnerSilence;

/**
 * When each runner last produced an event for a stream of this daemon. Safe for use by
 * several threads without locks.
 */
public final class ProgressTracker {

	/**
	 * Time for which a suspect gets no requests. A report names the cause of a stall well
	 * within it.
	 */
	private static final long SUSPECT_MILLIS = 1000;

	private final Clock clock;

	private final Map<RunnerId, RunnerProgress> runners = new ConcurrentHashMap<>();

	private volatile long runningSince;

	/**
	 * Creates a board without runners.
	 * @param clock monotonic clock
	 */
	public ProgressTracker(Clock clock) {
		this.clock = clock;
		this.runningSince = clock.millis();
	}

	/**
	 * A stream has had its first event.
	 * @param path the runners that it passes
	 * @return its progress, to be told about each further event
	 */
	public StreamProgress track(List<RunnerId> path) {
		StreamProgress stream = new StreamProgress(
				path.stream().map((id) -> this.runners.computeIfAbsent(id, RunnerProgress::new)).toList());
		stream.path.forEach((progress) -> progress.streams.incrementAndGet());
		stream.recordEvent();
		return stream;
	}

	/**
	 * This daemon stood still, so that silence until now says nothing about runners.
	 */
	public void resetSilence() {
		this.runningSince = this.clock.millis();
	}

	/**
	 * Returns the time since a moment during which this daemon ran.
	 * @param millis the moment on the clock of this board
	 * @return milliseconds
	 */
	public long silenceSince(long millis) {
		return this.clock.millis() - Math.max(millis, this.runningSince);
	}

	/**
	 * Returns how long runners have been silent.
	 * @param path the runners
	 * @return silence of each runner that has had streams
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
	 * Suspects runners for a while, or until a stream has an event from them.
	 * @param suspects the runners
	 * @return whether any of them was not suspected before
	 */
	public boolean markSuspected(Collection<RunnerId> suspects) {
		long now = this.clock.millis();
		boolean news = false;
		for (RunnerId suspect : suspects) {
			RunnerProgress progress = this.runners.get(suspect);
			if (progress != null && !progress.isSuspected(now)) {
				progress.suspectedAt = now;
				news = true;
			}
		}
		return news;
	}

	/**
	 * Tells whether a runner is suspected.
	 * @param runner the runner
	 * @return whether it should get no requests now
	 */
	public boolean isSuspected(RunnerId runner) {
		RunnerProgress progress = this.runners.get(runner);
		return progress != null && progress.isSuspected(this.clock.millis());
	}

	/**
	 * Forgets runners that are gone.
	 * @param fleet the runners that are known now
	 */
	public void retain(FleetSnapshot fleet) {
		this.runners.keySet().removeIf((id) -> fleet.find(id).isEmpty());
	}

	/** Progress of the streams of one runner. */
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
	 * Progress of one stream. Used by one thread.
	 */
	public final class StreamProgress {

		private final List<RunnerProgress> path;

		private boolean stopped;

		private StreamProgress(List<RunnerProgress> passed) {
			this.path = passed;
		}

		/** An event has come. */
		public void recordEvent() {
			long now = ProgressTracker.this.clock.millis();
			this.path.forEach((progress) -> progress.lastEventAt = now);
		}

		/** The stream has ended or left its path. */
		public void stop() {
			if (!this.stopped) {
				this.stopped = true;
				this.path.forEach((progress) -> progress.streams.decrementAndGet());
			}
		}

	}

}
