package io.bilberryvalve.policy.lease;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * State machine of one daemon that competes for one lease. It compares no clocks of
 * different daemons: a competitor takes the lease over only after it saw the same row
 * version for the whole duration on its own clock, and the holder counts its time from
 * before it sent the write. An instance is not safe for use by several threads.
 */
public final class LeaseHolder {

	private static final LeaseAction NONE = new LeaseAction.None();

	private static final double LEAST_FACTOR = 0.7;

	private static final double SPREAD = 0.6;

	private final String self;

	private final LeaseTimes times;

	private final Clock clock;

	private final RandomGenerator random;

	private final Predicate<String> ended;

	private long version = -1;

	private @Nullable Lease seen;

	private Instant seenSince = Instant.MIN;

	private Instant nextAt = Instant.MIN;

	private Instant sentAt = Instant.MIN;

	private LeaseAction pending = NONE;

	private boolean candidate;

	private @Nullable Grant grant;

	/**
	 * Creates a competitor without a lease.
	 * @param self incarnation of the daemon, unique across daemons and restarts
	 * @param times times of the lease
	 * @param clock monotonic clock
	 * @param random spreads renewals and reads
	 */
	public LeaseHolder(String self, LeaseTimes times, Clock clock, RandomGenerator random) {
		this(self, times, clock, random, (holder) -> false);
	}

	/**
	 * Creates a competitor that does not wait for the end of a lease whose holder has
	 * ended. Only for leases whose orders are all checked by their fencing number, since
	 * the holder may be paused and act once more.
	 * @param self incarnation of the daemon, unique across daemons and restarts
	 * @param times times of the lease
	 * @param clock monotonic clock
	 * @param random spreads renewals and reads
	 * @param ended tells whether an incarnation has ended
	 */
	public LeaseHolder(String self, LeaseTimes times, Clock clock, RandomGenerator random, Predicate<String> ended) {
		this.ended = ended;
		this.self = self;
		this.times = times;
		this.clock = clock;
		this.random = random;
	}

	/**
	 * Returns the grant under which the daemon may act now. It must be read directly
	 * before each order, because a pause may have outlasted the lease.
	 * @return the grant, or nothing
	 */
	public Optional<Grant> grant() {
		Grant now = this.grant;
		return (now != null && this.clock.instant().isBefore(now.actUntil())) ? Optional.of(now) : Optional.empty();
	}

	/**
	 * Time passed.
	 * @param competes whether the daemon is a candidate for the lease
	 * @return what to do
	 */
	public LeaseAction tick(boolean competes) {
		this.candidate = competes;
		Instant now = this.clock.instant();
		if (this.pending != NONE || now.isBefore(this.nextAt)) {
			return NONE;
		}
		Lease lease = this.seen;
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
		this.sentAt = this.clock.instant();
		return start(new LeaseAction.Write(this.version, lease));
	}

	private LeaseAction start(LeaseAction action) {
		this.pending = action;
		return action;
	}

	/**
	 * The lease was read.
	 * @param rowVersion version of its row, 0 if the row is absent
	 * @param lease the lease, or {@code null} if the row is absent
	 * @return what to do
	 */
	public LeaseAction found(long rowVersion, @Nullable Lease lease) {
		observe(rowVersion, lease);
		this.pending = NONE;
		pause(this.times.renewal());
		if (!this.candidate) {
			return NONE;
		}
		if (lease == null) {
			return write(new Lease(this.self, new FencingNumber(1)));
		}
		if (lease.holder().equals(this.self)) {
			return write(lease);
		}
		if (lease.released() || expired() || this.ended.test(lease.holder())) {
			return write(new Lease(this.self, lease.fencing().next()));
		}
		return NONE;
	}

	private boolean expired() {
		return !this.clock.instant().isBefore(this.seenSince.plus(this.times.duration()));
	}

	private void observe(long rowVersion, @Nullable Lease lease) {
		if (rowVersion != this.version) {
			this.version = rowVersion;
			this.seenSince = this.clock.instant();
		}
		this.seen = lease;
		Grant now = this.grant;
		boolean own = now != null && lease != null && lease.holder().equals(this.self)
				&& lease.fencing().equals(now.fencing());
		if (!own) {
			this.grant = null;
		}
	}

	/**
	 * The write took effect.
	 * @param rowVersion new version of the row
	 */
	public void committed(long rowVersion) {
		Lease lease = (this.pending instanceof LeaseAction.Write write) ? write.lease() : null;
		observe(rowVersion, lease);
		this.pending = NONE;
		pause(this.times.renewal());
		if (lease == null || lease.released()) {
			return;
		}
		Instant until = this.sentAt.plus(this.times.duration()).minus(this.times.margin());
		Grant now = this.grant;
		Instant since = (now != null) ? now.since() : this.clock.instant();
		this.grant = new Grant(lease.fencing(), since, until);
	}

	/**
	 * The write had no effect, because the row had another version.
	 * @param rowVersion version of the row, 0 if it is absent
	 * @param lease the lease, or {@code null} if the row is absent
	 */
	public void conflict(long rowVersion, @Nullable Lease lease) {
		observe(rowVersion, lease);
		this.pending = NONE;
		pause(this.times.renewal());
	}

	/**
	 * The read failed, or the write was refused before any effect.
	 */
	public void failed() {
		this.pending = NONE;
		pause(this.times.renewal().dividedBy(2));
	}

	/**
	 * The answer to the write was lost. The grant keeps its earlier end until the row has
	 * been read.
	 */
	public void lost() {
		this.pending = NONE;
		Lease lease = this.seen;
		if (lease != null && lease.holder().equals(this.self)) {
			this.seen = new Lease("?", lease.fencing());
		}
		this.nextAt = Instant.MIN;
	}

	private void pause(Duration mean) {
		double factor = LEAST_FACTOR + SPREAD * this.random.nextDouble();
		this.nextAt = this.clock.instant().plusMillis(Math.round(mean.toMillis() * factor));
	}

	/**
	 * The right to act.
	 *
	 * @param fencing number of the grant
	 * @param since when this daemon learned of the grant
	 * @param actUntil when the right ends on the clock of this daemon
	 */
	public record Grant(FencingNumber fencing, Instant since, Instant actUntil) {

	}

}
