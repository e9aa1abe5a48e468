package io.bilberryvalve.policy.lease;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * State machine with which one daemon competes for one lease, holds it and renews it. It
 * does not compare the clocks of different daemons: a candidate takes the lease over only
 * after it has seen the same row version for the whole lease duration on its own clock,
 * and the holder counts the duration from before it sent the write. A grant ends when the
 * store has a later era than the one in which it was written, and a write whose response
 * is from another era than the read before it grants nothing. An instance is not safe for
 * use by several threads.
 */
public final class LeaseCandidate {

	private static final LeaseAction NONE = new LeaseAction.None();

	// Intervals between actions are 0.7 to 1.3 times their mean, so that the daemons
	// do not act at the same time.
	private static final double MIN_JITTER_FACTOR = 0.7;

	private static final double JITTER_RANGE = 0.6;

	private final String self;

	private final LeaseTimes times;

	private final Clock clock;

	private final RandomGenerator random;

	private final Predicate<String> holderEnded;

	/** Era of the store in which the version was read. */
	private long era;

	private long version = -1;

	private @Nullable Lease lastSeen;

	private Instant versionSeenSince = Instant.MIN;

	private Instant nextActionAt = Instant.MIN;

	private Instant writeSentAt = Instant.MIN;

	/** Era of the read on which the write in progress is based. */
	private long writeEra;

	private LeaseAction pending = NONE;

	private boolean candidate;

	private @Nullable Grant grant;

	/**
	 * Creates a candidate without a lease.
	 * @param self incarnation of this daemon, unique across daemons and restarts
	 * @param times duration of the lease and intervals of renewals and reads
	 * @param clock monotonic clock
	 * @param random source of the jitter of renewals and reads
	 */
	public LeaseCandidate(String self, LeaseTimes times, Clock clock, RandomGenerator random) {
		this(self, times, clock, random, (holder) -> false);
	}

	/**
	 * Creates a candidate that does not wait for the expiry of a lease whose holder has
	 * ended. Use it only for leases whose orders are all checked by their fencing number,
	 * because a holder that is taken for ended may only be paused and send further
	 * orders.
	 * @param self incarnation of this daemon, unique across daemons and restarts
	 * @param times duration of the lease and intervals of renewals and reads
	 * @param clock monotonic clock
	 * @param random source of the jitter of renewals and reads
	 * @param ended whether the daemon with a given incarnation has ended
	 */
	public LeaseCandidate(String self, LeaseTimes times, Clock clock, RandomGenerator random, Predicate<String> ended) {
		this.holderEnded = ended;
		this.self = self;
		this.times = times;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Returns the grant under which this daemon may send orders now. Call this directly
	 * before each order, because the lease may have expired during a pause of the
	 * process.
	 * @return the grant, or empty if this daemon does not hold the lease
	 */
	public Optional<Grant> grant() {
		Grant now = this.grant;
		return (now != null && this.clock.instant().isBefore(now.validUntil())) ? Optional.of(now) : Optional.empty();
	}

	/**
	 * Handles that the store has an era. A later one than that of the last read or write
	 * ends the grant, because the store may have lost it, and makes the next action a
	 * read that is due at once.
	 * @param storeEra latest era of the store that this daemon has seen
	 */
	public void storeEraSeen(long storeEra) {
		if (storeEra > this.era) {
			forget(storeEra);
		}
	}

	private void forget(long storeEra) {
		this.era = storeEra;
		this.version = -1;
		this.lastSeen = null;
		this.grant = null;
		this.nextActionAt = Instant.MIN;
	}

	/**
	 * Requests a read, a renewal or a release if one is due and no action is in progress.
	 * @param competes whether this daemon is a candidate for the lease
	 * @return action to carry out
	 */
	public LeaseAction tick(boolean competes) {
		this.candidate = competes;
		Instant now = this.clock.instant();
		if (this.pending != NONE || now.isBefore(this.nextActionAt)) {
			return NONE;
		}
		Lease lease = this.lastSeen;
		if (this.grant != null && lease != null && lease.holder().equals(this.self)) {
			return competes ? write(lease) : release(lease);
		}
		return competes ? start(new LeaseAction.Read()) : NONE;
	}

	private LeaseAction release(Lease lease) {
		this.grant = null;
		return write(new Lease("", lease.fencing()));
	}

	private LeaseAction write(Lease lease) {
		this.writeSentAt = this.clock.instant();
		this.writeEra = this.era;
		return start(new LeaseAction.Write(this.version, lease));
	}

	private LeaseAction start(LeaseAction action) {
		this.pending = action;
		return action;
	}

	/**
	 * Handles the result of a read. A candidate renews its own lease and takes over one
	 * that is absent, released, expired or held by a daemon that has ended. A grant of
	 * its own that was written in an earlier era is replaced by a new one.
	 * @param rowEra era of the response
	 * @param rowVersion version of the row, 0 if the row does not exist
	 * @param lease content of the row, or {@code null} if it does not exist
	 * @return action to carry out
	 */
	public LeaseAction leaseRead(long rowEra, long rowVersion, @Nullable Lease lease) {
		this.pending = NONE;
		if (rowEra < this.era) {
			return NONE;
		}
		observe(rowEra, rowVersion, lease);
		scheduleNextAction(this.times.renewalInterval());
		if (!this.candidate) {
			return NONE;
		}
		if (lease == null) {
			return write(new Lease(this.self, FencingNumber.replacing(rowEra, rowVersion, null)));
		}
		boolean own = lease.holder().equals(this.self);
		if (own && lease.fencing().era() == rowEra) {
			return write(lease);
		}
		if (own || lease.released() || expired() || this.holderEnded.test(lease.holder())) {
			return write(new Lease(this.self, FencingNumber.replacing(rowEra, rowVersion, lease.fencing())));
		}
		return NONE;
	}

	private boolean expired() {
		return !this.clock.instant().isBefore(this.versionSeenSince.plus(this.times.duration()));
	}

	private void observe(long rowEra, long rowVersion, @Nullable Lease lease) {
		if (rowEra > this.era) {
			forget(rowEra);
		}
		if (rowVersion != this.version) {
			this.version = rowVersion;
			this.versionSeenSince = this.clock.instant();
		}
		this.lastSeen = lease;
		Grant now = this.grant;
		boolean own = now != null && lease != null && lease.holder().equals(this.self)
				&& lease.fencing().equals(now.fencing());
		if (!own) {
			this.grant = null;
		}
	}

	/**
	 * Handles a write that took effect. If its response is from another era than the read
	 * before it, the version that it expected may have been another row, and the write
	 * grants nothing.
	 * @param rowEra era of the response
	 * @param rowVersion new version of the row
	 * @return whether the response was from the era of the read
	 */
	public boolean writeCommitted(long rowEra, long rowVersion) {
		Lease lease = (this.pending instanceof LeaseAction.Write write) ? write.lease() : null;
		this.pending = NONE;
		if (rowEra != this.writeEra || rowEra != this.era) {
			forget(Math.max(rowEra, this.era));
			return false;
		}
		observe(rowEra, rowVersion, lease);
		scheduleNextAction(this.times.renewalInterval());
		if (lease == null || lease.released()) {
			return true;
		}
		Instant until = this.writeSentAt.plus(this.times.duration()).minus(this.times.safetyMargin());
		Grant now = this.grant;
		Instant since = (now != null) ? now.learnedAt() : this.clock.instant();
		this.grant = new Grant(lease.fencing(), since, until);
		return true;
	}

	/**
	 * Handles a write that had no effect because the row did not have the expected
	 * version.
	 * @param rowEra era of the response
	 * @param rowVersion current version of the row, 0 if the row does not exist
	 * @param lease current content of the row, or {@code null} if it does not exist
	 */
	public void writeConflicted(long rowEra, long rowVersion, @Nullable Lease lease) {
		this.pending = NONE;
		if (rowEra < this.era) {
			return;
		}
		observe(rowEra, rowVersion, lease);
		scheduleNextAction(this.times.renewalInterval());
	}

	/**
	 * Handles a read that failed, or a write that was refused before any effect.
	 */
	public void actionFailed() {
		this.pending = NONE;
		scheduleNextAction(this.times.renewalInterval().dividedBy(2));
	}

	/**
	 * Handles a write whose result is unknown because the answer was lost. The grant is
	 * not extended until the row has been read.
	 */
	public void writeResultUnknown() {
		this.pending = NONE;
		Lease lease = this.lastSeen;
		if (lease != null && lease.holder().equals(this.self)) {
			// No daemon has this name, so the next action reads the row instead of
			// writing it.
			this.lastSeen = new Lease("?", lease.fencing());
		}
		this.nextActionAt = Instant.MIN;
	}

	private void scheduleNextAction(Duration mean) {
		double factor = MIN_JITTER_FACTOR + JITTER_RANGE * this.random.nextDouble();
		this.nextActionAt = this.clock.instant().plusMillis(Math.round(mean.toMillis() * factor));
	}

	/**
	 * The right to send orders, for a limited time.
	 *
	 * @param fencing fencing number of the grant
	 * @param learnedAt time at which this daemon learned that it holds the lease
	 * @param validUntil time at which the right ends, on the clock of this daemon
	 */
	public record Grant(FencingNumber fencing, Instant learnedAt, Instant validUntil) {

	}

}
