package io.bilberryvalve.gateway.peer;

import java.time.Clock;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Role of this daemon in a fleet with delegates, and since when it has it. Logs changes
 * of the delegates, and when this daemon gets no digests. Confined to one thread.
 */
final class DelegateRole {

	private static final System.Logger LOGGER = System.getLogger(DelegateRole.class.getName());

	/**
	 * Time without a digest after which a daemon exchanges states with all others of its
	 * data centre; two periods of a delegate.
	 */
	static final long DIGEST_MISSING_MILLIS = 600;

	/**
	 * Time for which a new delegate collects states and digests before it sends its own:
	 * two digests of the other data centres. The other delegate sends meanwhile.
	 */
	private static final long COLLECTING_MILLIS = 600;

	/** Least time between two comparisons of the delegates for the log. */
	private static final long LOG_MILLIS = 1000;

	private final Delegates delegates;

	private final StateReceiver receiver;

	private final Clock clock;

	private Map<DataCentreId, List<String>> logged = Map.of();

	private long loggedAt;

	private boolean inUse;

	private int place = -1;

	/** Time since which this daemon is a delegate, or is none. */
	private long since;

	private boolean missing;

	DelegateRole(Delegates delegates, StateReceiver receiver, Clock clock) {
		this.delegates = delegates;
		this.receiver = receiver;
		this.clock = clock;
		this.loggedAt = clock.millis() - LOG_MILLIS;
		this.since = clock.millis();
	}

	/**
	 * Computes the role again. Call it once in each period.
	 */
	void update() {
		long now = this.clock.millis();
		boolean before = this.inUse;
		this.inUse = this.delegates.inUse();
		int next = this.inUse ? this.delegates.place() : -1;
		if (before != this.inUse || (next < 0) != (this.place < 0)) {
			this.since = now;
		}
		this.place = next;
		logDelegates(now);
		logMissing(now);
	}

	private void logDelegates(long now) {
		if (!this.inUse || now - this.loggedAt < LOG_MILLIS) {
			return;
		}
		Map<DataCentreId, List<String>> names = this.delegates.names();
		names.forEach((dataCentre, delegates) -> {
			if (!delegates.equals(this.logged.get(dataCentre))) {
				LogEvent.of("delegate-changed")
					.with("dataCentre", dataCentre.value())
					.with("delegates", delegates)
					.with("before", this.logged.get(dataCentre))
					.log(LOGGER, System.Logger.Level.INFO);
			}
		});
		this.logged = names;
		this.loggedAt = now;
	}

	private void logMissing(long now) {
		boolean next = isDigestMissing();
		if (next == this.missing) {
			return;
		}
		this.missing = next;
		LogEvent event = LogEvent.of(next ? "digest-missing" : "digest-regained")
			.with("millis", now - this.receiver.digestReceivedAt())
			.with("delegates", this.delegates.ofOwnDataCentre().stream().map(PeerState::vm).toList())
			.with("delegate", isDelegate());
		event.log(LOGGER, next ? System.Logger.Level.WARNING : System.Logger.Level.INFO);
	}

	/**
	 * Returns whether this daemon is a delegate.
	 * @return {@code false} in a fleet without delegates
	 */
	boolean isDelegate() {
		return this.place >= 0;
	}

	/**
	 * Returns the place of this daemon among the delegates of its data centre.
	 * @return 0 for the first delegate; -1 if it is none
	 */
	int place() {
		return this.place;
	}

	/**
	 * Returns whether this daemon is a delegate that knows enough to send digests.
	 * @return {@code true} also for a new delegate if no other one sends digests
	 */
	boolean sendsDigests() {
		long now = this.clock.millis();
		return isDelegate() && (now - this.since >= COLLECTING_MILLIS
				|| now - this.receiver.digestReceivedAt() > DIGEST_MISSING_MILLIS);
	}

	/**
	 * Returns whether this daemon depends on digests and gets none.
	 * @return {@code false} for a delegate
	 */
	boolean isDigestMissing() {
		long from = Math.max(this.since, this.receiver.digestReceivedAt());
		return this.inUse && !isDelegate() && this.clock.millis() - from > DIGEST_MISSING_MILLIS;
	}

}
