package io.bilberryvalve.gateway.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.ProgressTracker;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.silence.SuspectDetector;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Detects when the runners of one request fall silent, and finds the runner that causes
 * it. Runners from which several streams have had no event for too long are suspected
 * first, and the listener may make a backup attempt elsewhere. Otherwise the first runner
 * of the path is probed, and the path counts as stalled only if that runner names one
 * that does not respond to it, or does not answer itself: a path that is only slow
 * completes the request sooner than a second attempt from the start. A silent application
 * runner counts as stalled without a probe. Used on the event loop of the request, except
 * where noted.
 */
final class StallDetector {

	private static final System.Logger LOGGER = System.getLogger(StallDetector.class.getName());

	/** Time until the runners of a silent request are checked again. */
	private static final long REPROBE_MILLIS = 400;

	/**
	 * Time until a backup attempt is tried again after no other path was free; each try
	 * searches for a path.
	 */
	private static final long RETRY_BACKUP_MILLIS = 50;

	/** Used for a report that cannot be read, which shows no cause. */
	private static final StallProbe.ProbeResult NO_CAUSE = new StallProbe.ProbeResult(true, List.of());

	private final RelayContext context;

	private final EventLoop loop;

	private final Listener listener;

	private volatile long lastProgressAt;

	private ProgressTracker.@Nullable StreamProgress stream;

	private long longestSilence;

	private long nextProbeAt;

	private long nextBackupAt;

	private boolean probing;

	StallDetector(RelayContext context, EventLoop loop, Listener listener) {
		this.context = context;
		this.loop = loop;
		this.listener = listener;
	}

	/** Records that data was sent to the runners or has arrived from them. */
	void recordProgress() {
		long now = this.context.clock().millis();
		this.longestSilence = (this.lastProgressAt > 0) ? Math.max(this.longestSilence, now - this.lastProgressAt) : 0;
		this.lastProgressAt = now;
	}

	/**
	 * Counts the request as one of the streams of its runners, unless it is counted
	 * already. To be called for each event.
	 * @param reservation runners that the stream passes
	 * @param firstEvent whether the first event of the stream has arrived, at which the
	 * longest silence restarts
	 */
	void trackStream(Reservation reservation, boolean firstEvent) {
		if (this.stream == null) {
			this.stream = this.context.progressTracker().track(reservation.runnerIds(), reservation.path());
		}
		else {
			this.stream.countEvent();
		}
		if (firstEvent) {
			this.longestSilence = 0;
		}
	}

	/** Records an event of the tracked stream, if there is one. */
	void eventReceived() {
		ProgressTracker.StreamProgress current = this.stream;
		if (current != null) {
			current.recordEvent();
		}
	}

	/** Stops counting the request as a stream of its runners. */
	void stopTracking() {
		ProgressTracker.StreamProgress current = this.stream;
		this.stream = null;
		if (current != null) {
			current.stop();
		}
	}

	/**
	 * Returns the time since the last progress, without time in which this daemon itself
	 * was paused. Safe for use by any thread.
	 * @return milliseconds
	 */
	long silenceMillis() {
		return this.context.progressTracker().silenceSince(this.lastProgressAt);
	}

	/**
	 * Returns the longest time between two recordings of progress. It restarts at the
	 * first event of a stream.
	 * @return milliseconds
	 */
	long longestSilenceMillis() {
		return this.longestSilence;
	}

	/**
	 * Checks whether the request is stalled, and notifies the listener if so.
	 * @param route route of the request
	 * @param reservation runners that the request passes
	 * @param firstEventReceived whether the first event of the stream has arrived
	 * @param backlogMillis time that the runners need to process the prompts sent to
	 * them, during which events may be late
	 */
	void check(Route route, Reservation reservation, boolean firstEventReceived, long backlogMillis) {
		long silenceMillis = silenceMillis();
		long now = this.context.clock().millis();
		if (reservation.path() != null && now >= this.nextBackupAt) {
			Set<RunnerId> suspects = SuspectDetector.suspects(
					this.context.progressTracker().silences(reservation.runnerIds()), route.targetGap().toMillis(),
					backlogMillis);
			if (!suspects.isEmpty() && reportSuspects(reservation, suspects, silenceMillis)) {
				return;
			}
			this.nextBackupAt = suspects.isEmpty() ? 0 : now + RETRY_BACKUP_MILLIS;
		}
		if (this.probing || silenceMillis < RelayTimeouts.stallMillis(route, firstEventReceived)
				|| now < this.nextProbeAt) {
			return;
		}
		if (reservation.path() == null) {
			this.nextProbeAt = now + REPROBE_MILLIS;
			this.context.runnerAvailability()
				.recordFailure(reservation.firstRunner().id(), "silent for " + silenceMillis + " ms");
			this.listener.pathStalled(reservation, Set.of(reservation.firstRunner().id()), silenceMillis);
			return;
		}
		if (!this.context.runnerPauses().tryProbe(reservation.firstRunner())) {
			this.nextProbeAt = now + REPROBE_MILLIS;
			return;
		}
		this.probing = true;
		this.context.stallProbe()
			.probe(reservation.firstRunner())
			.exceptionally((failure) -> NO_CAUSE)
			.thenAccept((result) -> this.loop.execute(() -> probeCompleted(reservation, result, silenceMillis)));
	}

	private boolean reportSuspects(Reservation reservation, Set<RunnerId> suspects, long silenceMillis) {
		if (this.context.progressTracker().markSuspected(suspects)) {
			LogEvent.of("runners-suspected")
				.with("runners", suspects)
				.with("path", reservation.runnerIds())
				.with("silent", silenceMillis)
				.log(LOGGER, System.Logger.Level.INFO);
		}
		return this.listener.runnersSuspected(reservation, suspects, silenceMillis);
	}

	private void probeCompleted(Reservation reservation, StallProbe.ProbeResult result, long silenceMillis) {
		this.probing = false;
		this.nextProbeAt = this.context.clock().millis() + REPROBE_MILLIS;
		Set<RunnerId> blamed = new HashSet<>();
		for (Address address : result.unresponsive()) {
			this.context.fleetRegistry().snapshot().findByAddress(address).ifPresent((runner) -> {
				blamed.add(runner.id());
				this.context.runnerAvailability().markLost(runner, "named in a report of a stalled path");
			});
		}
		if (!result.answered()) {
			this.context.runnerAvailability()
				.recordFailure(reservation.firstRunner().id(), "no report from a silent path");
			blamed.add(reservation.firstRunner().id());
		}
		boolean causeFound = !result.answered() || !result.unresponsive().isEmpty();
		if (causeFound && silenceMillis() >= silenceMillis) {
			this.listener.pathStalled(reservation, blamed, silenceMillis);
		}
	}

	/**
	 * Receives detected stalls. Called on the event loop of the request.
	 */
	interface Listener {

		/**
		 * Runners on the path are suspected, because all streams that pass them are
		 * silent.
		 * @param reservation reservation that was checked
		 * @param suspects runners from which no stream has had an event for too long
		 * @param silenceMillis time without progress of this request, in milliseconds
		 * @return whether a backup attempt was made; otherwise the first runner is probed
		 * for the cause once the request has been silent for long enough
		 */
		boolean runnersSuspected(Reservation reservation, Set<RunnerId> suspects, long silenceMillis);

		/**
		 * The path is stalled.
		 * @param reservation reservation that was checked
		 * @param blamed runners that cause the stall
		 * @param silenceMillis time without progress of this request, in milliseconds
		 */
		void pathStalled(Reservation reservation, Set<RunnerId> blamed, long silenceMillis);

	}

}
