package io.bilberryvalve.gateway.relay;

import java.util.HashSet;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.model.RunnerId;
import io.netty.channel.EventLoop;

/**
 * Notices when the runners of a request fall silent and finds out which of them is the
 * cause. A silent path is left only if the first runner names one that it waits for, or
 * does not answer itself: slow runners end sooner than a second attempt from the start
 * would.
 */
final class StallCheck {

	/** Time until a silent path on which no runner is stalled is looked at again. */
	private static final long AGAIN_MILLIS = 400;

	private final RelayContext context;

	private final EventLoop loop;

	private final Listener listener;

	private volatile long progressAt;

	private long askAfter;

	private boolean asking;

	StallCheck(RelayContext context, EventLoop loop, Listener listener) {
		this.context = context;
		this.loop = loop;
		this.listener = listener;
	}

	/** Something was sent or has arrived. */
	void progress() {
		this.progressAt = this.context.clock().millis();
	}

	/**
	 * Returns the time since the last progress. Safe for use by any thread.
	 * @return milliseconds
	 */
	long silentMillis() {
		return this.context.clock().millis() - this.progressAt;
	}

	/**
	 * Looks for a stall.
	 * @param route route of the request
	 * @param seat where it is
	 * @param read whether the first event has come
	 */
	void check(Route route, Seat seat, boolean read) {
		long silent = silentMillis();
		if (this.asking || silent < RelayTimes.stallMillis(route, read)
				|| this.context.clock().millis() < this.askAfter) {
			return;
		}
		if (seat.path() == null) {
			this.context.trust().failed(seat.first().id(), "silent for " + silent + " ms");
			this.listener.stalled(seat, Set.of(seat.first().id()), silent);
			return;
		}
		this.asking = true;
		this.context.reports()
			.ask(seat.first())
			.thenAccept((stall) -> this.loop.execute(() -> reported(seat, stall, silent)));
	}

	private void reported(Seat seat, StallReports.Stall stall, long silent) {
		this.asking = false;
		Set<RunnerId> blamed = new HashSet<>();
		stall.waitsFor()
			.forEach(
					(address) -> this.context.board().fleet().at(address).map(ListedRunner::id).ifPresent(blamed::add));
		blamed.forEach((runner) -> this.context.trust().failed(runner, "named in a report of a stalled path"));
		if (!stall.answered()) {
			this.context.trust().failed(seat.first().id(), "no report from a silent path");
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
		 * The runners have been silent.
		 * @param seat the place that was looked at; the request may have left it
		 * meanwhile
		 * @param blamed runners that are the cause
		 * @param silent how long, in milliseconds
		 */
		void stalled(Seat seat, Set<RunnerId> blamed, long silent);

	}

}
