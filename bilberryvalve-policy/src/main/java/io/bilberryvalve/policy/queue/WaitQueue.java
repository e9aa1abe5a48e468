package io.bilberryvalve.policy.queue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for a slot at the runners of one service. During a burst
 * above the capacity, requests that can still be answered on time are served first, and
 * requests that are already late get the remaining slots. Both are ordered by priority,
 * then fairly between teams by the cost of their admitted requests, then by the time
 * until which the answer can be on time. A request whose expected wait exceeds its limit
 * is rejected at once, since it would only wait and be rejected later. An instance is not
 * safe for use by several threads.
 *
 * @param <T> type of the requests, which are told apart by identity
 */
public final class WaitQueue<T> {

	/**
	 * Time in milliseconds of its share of the admitted cost that a team without requests
	 * keeps as credit.
	 */
	private static final double CREDIT_MILLIS = 1000;

	/**
	 * Interval in milliseconds at which late requests are removed that will not be served
	 * within their limit. It bounds the cost of the search, which visits all of them.
	 */
	private static final long LATE_CHECK_INTERVAL_MILLIS = 20;

	/**
	 * Time in milliseconds for which no capacity is reserved for a request as large as
	 * one that fitted nowhere although capacity was reserved for it.
	 */
	private static final long RESERVED_IN_VAIN_MILLIS = 3000;

	private static final double MILLIS_PER_SECOND = 1000;

	private final boolean reserving;

	private final TreeMap<Integer, PriorityClass<T>> classes = new TreeMap<>();

	private final Map<T, Waiting<T>> all = new IdentityHashMap<>();

	private final TreeSet<Waiting<T>> byRejection = new TreeSet<>(Waiting.BY_REJECTION);

	/** Requests for which capacity is reserved; each one ends within its wait limit. */
	private final Set<Waiting<T>> holders = new HashSet<>();

	private final AdmissionRate rate = new AdmissionRate();

	private long sequence;

	private long waitingCost;

	private long lateCheckedAt = Long.MIN_VALUE / 2;

	private long reservedInVainAt = Long.MIN_VALUE / 2;

	private long reservedInVainCost = Long.MAX_VALUE;

	/** Creates a queue that reserves capacity for requests that were passed over. */
	public WaitQueue() {
		this(true);
	}

	/**
	 * Creates a queue.
	 * @param reserving whether a request that was passed over for half of its wait limit
	 * keeps those behind it from being served
	 */
	public WaitQueue(boolean reserving) {
		this.reserving = reserving;
	}

	/**
	 * Adds a request that found no free slot.
	 * @param item request to add
	 * @param demand what it needs
	 * @param now present time in milliseconds
	 * @return empty if the request was added; otherwise what decided that it is rejected
	 */
	public Optional<Refusal> offer(T item, RequestDemand demand, long now) {
		update(now);
		Refusal refusal = refusal(demand, now);
		if (refusal.expectedWaitMillis() > demand.limits().rejectAt() - now) {
			return Optional.of(refusal);
		}
		Waiting<T> waiting = new Waiting<>(item, demand, now, this.sequence++);
		this.classes.computeIfAbsent(demand.priority(), (priority) -> new PriorityClass<>()).add(waiting, credit());
		this.all.put(item, waiting);
		this.byRejection.add(waiting);
		this.waitingCost += demand.cost();
		return Optional.empty();
	}

	/**
	 * Returns what a request would have to wait for. Only the same and more urgent
	 * classes count, as it overtakes the others.
	 * @param demand what the request needs
	 * @param now present time in milliseconds
	 * @return the cost ahead of the request and the rate at which it is admitted
	 */
	public Refusal refusal(RequestDemand demand, long now) {
		double ahead = 0;
		for (PriorityClass<T> urgent : this.classes.headMap(demand.priority(), false).values()) {
			ahead += urgent.cost(false);
		}
		PriorityClass<T> own = this.classes.get(demand.priority());
		double perMilli = this.rate.perMilli();
		double onTime = ahead + ((own != null) ? own.onTimeCostAhead(demand, credit()) : 0);
		if (now + waitMillis(onTime, perMilli) >= demand.limits().onTimeUntil()) {
			for (PriorityClass<T> urgent : this.classes.headMap(demand.priority(), false).values()) {
				ahead += urgent.cost(true);
			}
			onTime = ahead + ((own != null) ? own.lateCostAhead(demand, credit()) : 0);
		}
		return new Refusal(demand.priority(), Math.round(onTime), perMilli * MILLIS_PER_SECOND);
	}

	private static double waitMillis(double cost, double perMilli) {
		return (perMilli > 0) ? cost / perMilli : 0;
	}

	// Returns the credit of a team that becomes active now.
	private double credit() {
		int active = 0;
		for (PriorityClass<T> one : this.classes.values()) {
			active += one.activeTeams();
		}
		return this.rate.perMilli() * CREDIT_MILLIS / (active + 1);
	}

	private void update(long now) {
		this.rate.advance(now, !this.all.isEmpty());
		this.classes.values().forEach((one) -> one.moveLate(now));
	}

	/**
	 * Returns the requests that should get the next slots, without removing them.
	 * @param now present time in milliseconds
	 * @param limit largest number of requests to return
	 * @return the requests, next one first
	 */
	public List<T> peek(long now, int limit) {
		update(now);
		List<T> next = new ArrayList<>();
		for (Iterator<Waiting<T>> order = inOrder(); next.size() < limit && order.hasNext();) {
			next.add(order.next().item());
		}
		return next;
	}

	private Iterator<Waiting<T>> inOrder() {
		return new ServingOrder<>(this.classes.values());
	}

	/**
	 * Grants slots to the waiting requests in their order, and removes those that got
	 * one. A request that fits nowhere at present, because it is large or must avoid some
	 * runners, does not block those behind it, unless it was passed over for half of the
	 * time within which its answer could be on time.
	 * @param now present time in milliseconds
	 * @param limit largest number of requests to try
	 * @param grant reserves slots for a request and returns whether it got them
	 * @return the requests that got slots
	 */
	public List<T> dispatch(long now, int limit, Predicate<T> grant) {
		update(now);
		List<Waiting<T>> granted = new ArrayList<>();
		List<Waiting<T>> passed = new ArrayList<>();
		int tried = 0;
		for (Iterator<Waiting<T>> order = inOrder(); tried < limit && order.hasNext(); tried++) {
			Waiting<T> next = order.next();
			if (grant.test(next.item())) {
				granted.add(next);
				passed.forEach((waiting) -> waiting.passedOver(now));
			}
			else if (holds(next, now)) {
				next.hold();
				this.holders.add(next);
				break;
			}
			else {
				passed.add(next);
			}
		}
		granted.forEach(this::admit);
		return granted.stream().map(Waiting::item).toList();
	}

	private boolean holds(Waiting<T> waiting, long now) {
		boolean inVain = waiting.demand().cost() >= this.reservedInVainCost
				&& now - this.reservedInVainAt < RESERVED_IN_VAIN_MILLIS;
		return this.reserving && !inVain && waiting.isDue(now);
	}

	/**
	 * Tells whether the next capacity is reserved for requests that were passed over and
	 * precede another one.
	 * @param demand what the other request needs
	 * @return whether it must not get slots now
	 */
	public boolean isReservedBefore(RequestDemand demand) {
		return this.holders.stream()
			.anyMatch((waiting) -> !waiting.isLate() && waiting.demand().priority() <= demand.priority());
	}

	/**
	 * Returns how many waiting requests keep those behind them from being served.
	 * @return number of requests for which capacity is reserved
	 */
	public int reservedCount() {
		return this.holders.size();
	}

	private void admit(Waiting<T> waiting) {
		drop(waiting);
		charge(waiting.demand());
	}

	/**
	 * Records that a request got a slot without having been added, since those that wait
	 * could not use the slot.
	 * @param demand what the request needs
	 * @param now present time in milliseconds
	 */
	public void charge(RequestDemand demand, long now) {
		update(now);
		charge(demand);
	}

	private void charge(RequestDemand demand) {
		PriorityClass<T> own = this.classes.get(demand.priority());
		this.rate.record(demand.cost());
		if (own != null) {
			own.charge(demand.team(), demand.cost(), credit());
			forgetIdle(demand.priority(), own);
		}
	}

	private void forgetIdle(int priority, PriorityClass<T> own) {
		if (own.isEmpty()) {
			own.forgetIdleTeams(credit());
			if (!own.hasTeams()) {
				this.classes.remove(priority);
			}
		}
	}

	/**
	 * Removes a request whose caller has disconnected. Its team is not charged.
	 * @param item request to remove
	 * @param now present time in milliseconds
	 * @return whether it was in the queue
	 */
	public boolean remove(T item, long now) {
		Waiting<T> waiting = this.all.get(item);
		if (waiting != null) {
			update(now);
			drop(waiting);
		}
		return waiting != null;
	}

	private void drop(Waiting<T> waiting) {
		this.all.remove(waiting.item());
		this.byRejection.remove(waiting);
		this.holders.remove(waiting);
		this.waitingCost -= waiting.demand().cost();
		PriorityClass<T> own = this.classes.get(waiting.demand().priority());
		if (own != null) {
			own.remove(waiting);
		}
	}

	/**
	 * Removes the requests that have waited as long as they may, and the late ones that
	 * will not be served in time because others go first.
	 * @param now present time in milliseconds
	 * @return the removed requests, which the caller has to reject
	 */
	public List<T> expire(long now) {
		update(now);
		List<T> expired = new ArrayList<>();
		expireUntil(now, now, expired);
		double perMilli = this.rate.perMilli();
		if (perMilli > 0 && now - this.lateCheckedAt >= LATE_CHECK_INTERVAL_MILLIS) {
			this.lateCheckedAt = now;
			findHopeless(now, perMilli).forEach((waiting) -> expire(waiting, now, expired));
		}
		return expired;
	}

	private List<Waiting<T>> findHopeless(long now, double perMilli) {
		List<Waiting<T>> hopeless = new ArrayList<>();
		double ahead = 0;
		for (PriorityClass<T> one : this.classes.values()) {
			ahead += one.cost(false);
		}
		for (PriorityClass<T> one : this.classes.values()) {
			for (Iterator<Waiting<T>> late = one.inOrder(true); late.hasNext();) {
				Waiting<T> waiting = late.next();
				if (now + ahead / perMilli >= waiting.demand().limits().rejectAt()) {
					hopeless.add(waiting);
				}
				else {
					ahead += waiting.demand().cost();
				}
			}
		}
		return hopeless;
	}

	/**
	 * Removes the requests that may not wait until a time, as when no capacity will be
	 * available before.
	 * @param until time in milliseconds
	 * @param now present time in milliseconds
	 * @return the removed requests, which the caller has to reject
	 */
	public List<T> expireUntil(long until, long now) {
		List<T> expired = new ArrayList<>();
		expireUntil(until, now, expired);
		return expired;
	}

	private void expireUntil(long until, long now, List<T> expired) {
		while (!this.byRejection.isEmpty() && until >= this.byRejection.first().demand().limits().rejectAt()) {
			expire(this.byRejection.first(), now, expired);
		}
	}

	private void expire(Waiting<T> waiting, long now, List<T> expired) {
		drop(waiting);
		expired.add(waiting.item());
		if (waiting.wasHeld()) {
			this.reservedInVainAt = now;
			this.reservedInVainCost = waiting.demand().cost();
		}
	}

	/**
	 * Returns the length of the queue.
	 * @return number of waiting requests, including late ones
	 */
	public int size() {
		return this.all.size();
	}

	/**
	 * Returns the cost of the waiting requests.
	 * @return cost, including late requests
	 */
	public long cost() {
		return this.waitingCost;
	}

	/**
	 * Returns the measured rate of admitted cost.
	 * @return cost per second, 0 if it has not been measured
	 */
	public double costPerSecond() {
		return this.rate.perMilli() * MILLIS_PER_SECOND;
	}

	/**
	 * Limits of the wait of a request, on the clock of the queue.
	 *
	 * @param onTimeUntil time in milliseconds before which a slot leads to an answer
	 * within the target latency
	 * @param rejectAt time in milliseconds at which the request is rejected
	 */
	public record WaitLimits(long onTimeUntil, long rejectAt) {

	}

}
