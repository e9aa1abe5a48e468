package io.bilberryvalve.gateway.relay;

import java.util.HashSet;
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
 * Notices when the runners of a request fall silent and finds out which of them is the
 * cause. A silent path is left only if the first runner names one that it waits for, or
 * does not answer itself: slow runners end sooner than a second attempt from the start
 * would.
 */
final class StallCheck {

	private static final System.Logger LOGGER = System.getLogger(StallCheck.class.getName());

	/** Time until a silent path on which no runner is stalled is looked at again. */
	private static final long AGAIN_MILLIS = 400;

	private final RelayContext context;

	private final EventLoop loop;

	private final Listener listener;

	private volatile long progressAt;

	private ProgressTracker.@Nullable StreamProgress stream;

	private long longest;

	private long askAfter;

	private boolean asking;

	StallCheck(RelayContext context, EventLoop loop, Listener listener) {
		this.context = context;
		this.loop = loop;
		this.listener = listener;
	}

	/** Something was sent or has arrived. */
	void progress() {
		long now = this.context.clock().millis();
		this.longest = (this.progressAt > 0) ? Math.max(this.longest, now - this.progressAt) : 0;
		this.progressAt = now;
	}

	/**
	 * A stream has had its first event.
	 * @param seat where it is
	 */
	void started(Seat seat) {
		this.stream = this.context.progress().track(seat.ids());
		this.longest = 0;
	}

	/** A stream has had a further event. */
	void event() {
		ProgressTracker.StreamProgress now = this.stream;
		if (now != null) {
			now.recordEvent();
		}
	}

	/** The request has left its place. */
	void left() {
		ProgressTracker.StreamProgress now = this.stream;
		this.stream = null;
		if (now != null) {
			now.stop();
		}
	}

	/**
	 * Returns the time since the last progress. Safe for use by any thread.
	 * @return milliseconds
	 */
	long silentMillis() {
		return this.context.progress().silenceSince(this.progressAt);
	}

	/**
	 * Returns the longest time without progress so far.
	 * @return milliseconds
	 */
	long longestSilenceMillis() {
		return this.longest;
	}

	/**
	 * Looks for a stall.
	 * @param route route of the request
	 * @param seat where it is
	 * @param read whether the first event has come
	 * @param backlogMillis time that the runners need to read the prompts sent to them
	 */
	void check(Route route, Seat seat, boolean read, long backlogMillis) {
		long silent = silentMillis();
		if (seat.path() != null) {
			Set<RunnerId> suspects = SuspectDetector.suspects(this.context.progress().silences(seat.ids()),
					route.targetGap().toMillis(), backlogMillis);
			if (!suspects.isEmpty() && suspect(seat, suspects, silent)) {
				return;
			}
		}
		if (this.asking || silent < RelayTimes.stallMillis(route, read)
				|| this.context.clock().millis() < this.askAfter) {
			return;
		}
		if (seat.path() == null) {
			this.context.trust().recordFailure(seat.first().id(), "silent for " + silent + " ms");
			this.listener.stalled(seat, Set.of(seat.first().id()), silent);
			return;
		}
		this.asking = true;
		this.context.reports()
			.ask(seat.first())
			.thenAccept((stall) -> this.loop.execute(() -> reported(seat, stall, silent)));
	}

	private boolean suspect(Seat seat, Set<RunnerId> suspects, long silent) {
		if (this.context.progress().markSuspected(suspects)) {
			LogEvent.of("runners-suspected")
				.with("runners", suspects)
				.with("path", seat.ids())
				.with("silent", silent)
				.log(LOGGER, System.Logger.Level.INFO);
		}
		return this.listener.suspected(seat, suspects, silent);
	}

	private void reported(Seat seat, StallReports.Stall stall, long silent) {
		this.asking = false;
		Set<RunnerId> blamed = new HashSet<>();
		for (Address address : stall.waitsFor()) {
			this.context.board().snapshot().findByAddress(address).ifPresent((runner) -> {
				blamed.add(runner.id());
				this.context.trust().markLost(runner, "named in a report of a stalled path");
			});
		}
		if (!stall.answered()) {
			this.context.trust().recordFailure(seat.first().id(), "no report from a silent path");
			blamed.add(seat.first().id());
		}
		if (stall.answered() && stall.waitsFor().isEmpty()) {
			this.askAfter = this.context.clock().millis() + AGAIN_MILLIS;
		}
		else if (silentMillis() >= silent) {
			this.listener.stalled(seat, blamed, silent);
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
		boolean suspected(Seat seat, Set<RunnerId> suspects, long silent);

		/**
		 * The runners have been silent.
		 * @param seat the place that was looked at; the request may have left it
		 * meanwhile
		 * @param blamed runners that are the cause
		 * @param silent how long, in milliseconds
		 */
		void stalled(Seat seat, Set<RunnerId> blamed, long silent);

	}

}
