package io.bilberryvalve.gateway.relay;

import java.util.HashSet;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.ProgressBoard;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.silence.SilenceRule;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Notices when the runners of a request fall silent and finds out which of them is the
 * cause. A silent path is left only if the first runner names one that it waits for, or
 * does not answer itself: slow runners end sooner than a second attempt from the start
 * would.
 */
final class StallDetector {

	private static final System.Logger LOGGER = System.getLogger(StallDetector.class.getName());

	/** Time until a silent path on which no runner is stalled is looked at again. */
	private static final long REPROBE_MILLIS = 400;

	private final RelayContext context;

	private final EventLoop loop;

	private final Listener listener;

	private volatile long lastProgressAt;

	private ProgressBoard.@Nullable Stream stream;

	private long longestSilence;

	private long nextProbeAt;

	private boolean probing;

	StallDetector(RelayContext context, EventLoop loop, Listener listener) {
		this.context = context;
		this.loop = loop;
		this.listener = listener;
	}

	/** Something was sent or has arrived. */
	void recordProgress() {
		long now = this.context.clock().millis();
		this.longestSilence = (this.lastProgressAt > 0) ? Math.max(this.longestSilence, now - this.lastProgressAt) : 0;
		this.lastProgressAt = now;
	}

	/**
	 * A stream has had its first event.
	 * @param seat where it is
	 */
	void streamStarted(Reservation seat) {
		this.stream = this.context.progressTracker().join(seat.runnerIds());
		this.longestSilence = 0;
	}

	/** A stream has had a further event. */
	void eventReceived() {
		ProgressBoard.Stream now = this.stream;
		if (now != null) {
			now.event();
		}
	}

	/** The request has left its place. */
	void reservationReleased() {
		ProgressBoard.Stream now = this.stream;
		this.stream = null;
		if (now != null) {
			now.leave();
		}
	}

	/**
	 * Returns the time since the last progress. Safe for use by any thread.
	 * @return milliseconds
	 */
	long silenceMillis() {
		return this.context.progressTracker().silenceSince(this.lastProgressAt);
	}

	/**
	 * Returns the longest time without progress so far.
	 * @return milliseconds
	 */
	long longestSilenceMillis() {
		return this.longestSilence;
	}

	/**
	 * Looks for a stall.
	 * @param route route of the request
	 * @param seat where it is
	 * @param read whether the first event has come
	 * @param backlogMillis time that the runners need to read the prompts sent to them
	 */
	void check(Route route, Reservation seat, boolean read, long backlogMillis) {
		long silent = silenceMillis();
		if (seat.path() != null) {
			Set<RunnerId> suspects = SilenceRule.suspects(this.context.progressTracker().silences(seat.runnerIds()),
					route.targetGap().toMillis(), backlogMillis);
			if (!suspects.isEmpty() && reportSuspects(seat, suspects, silent)) {
				return;
			}
		}
		if (this.probing || silent < RelayTimeouts.stallMillis(route, read)
				|| this.context.clock().millis() < this.nextProbeAt) {
			return;
		}
		if (seat.path() == null) {
			this.context.runnerAvailability().failed(seat.first().id(), "silent for " + silent + " ms");
			this.listener.pathStalled(seat, Set.of(seat.first().id()), silent);
			return;
		}
		this.probing = true;
		this.context.stallProbe()
			.probe(seat.first())
			.thenAccept((stall) -> this.loop.execute(() -> probeCompleted(seat, stall, silent)));
	}

	private boolean reportSuspects(Reservation seat, Set<RunnerId> suspects, long silent) {
		if (this.context.progressTracker().suspect(suspects)) {
			LogEvent.of("runners-suspected")
				.with("runners", suspects)
				.with("path", seat.runnerIds())
				.with("silent", silent)
				.log(LOGGER, System.Logger.Level.INFO);
		}
		return this.listener.runnersSuspected(seat, suspects, silent);
	}

	private void probeCompleted(Reservation seat, StallProbe.ProbeResult stall, long silent) {
		this.probing = false;
		Set<RunnerId> blamed = new HashSet<>();
		for (Address address : stall.unresponsive()) {
			this.context.fleetRegistry().fleet().at(address).ifPresent((runner) -> {
				blamed.add(runner.id());
				this.context.runnerAvailability().lost(runner, "named in a report of a stalled path");
			});
		}
		if (!stall.answered()) {
			this.context.runnerAvailability().failed(seat.first().id(), "no report from a silent path");
			blamed.add(seat.first().id());
		}
		if (stall.answered() && stall.unresponsive().isEmpty()) {
			this.nextProbeAt = this.context.clock().millis() + REPROBE_MILLIS;
		}
		else if (silenceMillis() >= silent) {
			this.listener.pathStalled(seat, blamed, silent);
		}
	}

	/**
	 * Receives stalls.
	 */
	interface Listener {

		/**
		 * The runners are silent for this request and for others.
		 * @param seat the place that was looked at
		 * @param suspects runners from which no stream has an event
		 * @param silent how long, in milliseconds
		 * @return whether the request has left the place; otherwise its runners are asked
		 * for the cause when it has been silent for long enough
		 */
		boolean runnersSuspected(Reservation seat, Set<RunnerId> suspects, long silent);

		/**
		 * The runners have been silent.
		 * @param seat the place that was looked at; the request may have left it
		 * meanwhile
		 * @param blamed runners that are the cause
		 * @param silent how long, in milliseconds
		 */
		void pathStalled(Reservation seat, Set<RunnerId> blamed, long silent);

	}

}
