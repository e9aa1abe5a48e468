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
public final class ProgressBoard {

	/**
	 * Time for which a suspect gets no requests. A report names the cause of a stall well
	 * within it.
	 */
	private static final long SUSPECT_MILLIS = 1000;

	private final Clock clock;

	private final Map<RunnerId, Progress> runners = new ConcurrentHashMap<>();

	private volatile long awakeSince;

	/**
	 * Creates a board without runners.
	 * @param clock monotonic clock
	 */
	public ProgressBoard(Clock clock) {
		this.clock = clock;
		this.awakeSince = clock.millis();
	}

	/**
	 * A stream has had its first event.
	 * @param path the runners that it passes
	 * @return its progress, to be told about each further event
	 */
	public Stream join(List<RunnerId> path) {
		Stream stream = new Stream(path.stream().map((id) -> this.runners.computeIfAbsent(id, Progress::new)).toList());
		stream.passed.forEach((progress) -> progress.streams.incrementAndGet());
		stream.event();
		return stream;
	}

	/**
	 * This daemon stood still, so that silence until now says nothing about runners.
	 */
	public void awake() {
		this.awakeSince = this.clock.millis();
	}

	/**
	 * Returns the time since a moment during which this daemon ran.
	 * @param millis the moment on the clock of this board
	 * @return milliseconds
	 */
	public long silenceSince(long millis) {
		return this.clock.millis() - Math.max(millis, this.awakeSince);
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
			.map((progress) -> new RunnerSilence(progress.runner, Math.max(0, silenceSince(progress.at)),
					Math.max(0, progress.streams.get())))
			.toList();
	}

	/**
	 * Suspects runners for a while, or until a stream has an event from them.
	 * @param suspects the runners
	 * @return whether any of them was not suspected before
	 */
	public boolean suspect(Collection<RunnerId> suspects) {
		long now = this.clock.millis();
		boolean news = false;
		for (RunnerId suspect : suspects) {
			Progress progress = this.runners.get(suspect);
			if (progress != null && !progress.suspected(now)) {
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
	public boolean suspected(RunnerId runner) {
		Progress progress = this.runners.get(runner);
		return progress != null && progress.suspected(this.clock.millis());
	}

	/**
	 * Forgets runners that are gone.
	 * @param fleet the runners that are known now
	 */
	public void retain(Fleet fleet) {
		this.runners.keySet().removeIf((id) -> fleet.find(id).isEmpty());
	}

	/** Progress of the streams of one runner. */
	private static final class Progress {

		private final RunnerId runner;

		private final AtomicInteger streams = new AtomicInteger();

		private volatile long at;

		private volatile long suspectedAt = Long.MIN_VALUE / 2;

		Progress(RunnerId runner) {
			this.runner = runner;
		}

		boolean suspected(long now) {
			return now - this.suspectedAt < SUSPECT_MILLIS && this.at <= this.suspectedAt;
		}

	}

	/**
	 * Progress of one stream. Used by one thread.
	 */
	public final class Stream {

		private final List<Progress> passed;

		private boolean left;

		private Stream(List<Progress> passed) {
			this.passed = passed;
		}

		/** An event has come. */
		public void event() {
			long now = ProgressBoard.this.clock.millis();
			this.passed.forEach((progress) -> progress.at = now);
		}

		/** The stream has ended or left its path. */
		public void leave() {
			if (!this.left) {
				this.left = true;
				this.passed.forEach((progress) -> progress.streams.decrementAndGet());
			}
		}

	}

}
