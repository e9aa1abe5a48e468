package io.bilberryvalve.policy.share;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

import io.bilberryvalve.model.ClubId;
import org.jspecify.annotations.Nullable;

/**
 * Wait queue of one entry. It selects the next request by start-time fair queueing by
 * token cost, first among clubs and then among the teams of the club; the requests of a
 * team are ordered by arrival and priority. Each running request holds one stream of the
 * {@link Allocation}. Not safe for use by several threads.
 *
 * @param <T> type of the object that the caller attaches to a request
 */
public final class AdmissionQueue<T> {

	private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

	private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

	private static final double MILLIS_PER_SECOND = 1000;

	private final Clock clock;

	private final QueueLimits limits;

	private final Map<ClubId, ClubQueue<T>> clubs = new TreeMap<>();

	private final TreeSet<ClubQueue<T>> active = new TreeSet<>(ClubQueue.ORDER);

	private final TreeSet<AdmissionTicket<T>> byLatestStart = new TreeSet<>(AdmissionTicket.BY_LATEST_START);

	private final DecayedSum completed = new DecayedSum(TeamQueue.RECENT_HALF_LIFE_MILLIS);

	private ShareWeights weights = new ShareWeights(Map.of(), Map.of());

	private Allocation allocation = Allocation.NONE;

	private double virtualTime;

	private long sequence;

	private int running;

	/**
	 * Creates an empty queue that starts nothing before its first allocation.
	 * @param clock measures waits, deadlines and recent costs
	 * @param limits largest numbers of waiting requests
	 */
	public AdmissionQueue(Clock clock, QueueLimits limits) {
		this.clock = clock;
		this.limits = limits;
	}

	/**
	 * Sets the streams and rates that the entry may use. Running requests are not
	 * interrupted if the limit falls below their number, and waiting requests keep their
	 * place.
	 * @param next allocation of this entry
	 * @param nextWeights configured weights, for clubs and teams without a rate in the
	 * allocation
	 */
	public void setAllocation(Allocation next, ShareWeights nextWeights) {
		this.allocation = next;
		this.weights = nextWeights;
		List<ClubQueue<T>> busy = List.copyOf(this.active);
		this.active.clear();
		this.clubs.values().forEach((club) -> club.setWeights(this::weight, weight(club.id()), this.virtualTime));
		this.active.addAll(busy);
	}

	/**
	 * Adds a request. It is rejected at once if a queue is full or if its deadline cannot
	 * be met.
	 * @param team team of the caller
	 * @param cost predicted cost in tokens, at least 1
	 * @param priority priority, 0 by default; each step counts as an earlier arrival by
	 * half a second
	 * @param timeout time left until the deadline
	 * @param payload object to attach to the request
	 * @return {@link Accepted} with the ticket, or {@link Rejected}
	 */
	public OfferResult<T> offer(TeamKey team, int cost, int priority, Duration timeout, T payload) {
		long now = this.clock.millis();
		ClubQueue<T> club = club(team.club());
		TeamQueue<T> queue = club.team(team);
		if (queue.waiting().size() >= this.limits.maxWaitingPerTeam()
				|| this.byLatestStart.size() >= this.limits.maxWaitingPerEntry()) {
			queue.recordRefusal(now);
			return new Rejected<>("the queue of team " + team.team() + " is full",
					retryAfter(expectedWait(club, queue)));
		}
		Duration wait = canStartNow(club) ? Duration.ZERO : expectedWait(club, queue);
		Duration service = Duration.ofMillis(queue.expectedServiceMillis(cost, now));
		Duration needed = wait.plus(service);
		if (timeout.isZero() || timeout.isNegative() || needed.compareTo(timeout) > 0) {
			queue.recordRefusal(now);
			return new Rejected<>(
					"the expected wait of " + wait.toMillis() + " ms leaves too little time before the deadline",
					retryAfter(needed.minus(timeout)));
		}
		AdmissionTicket<T> ticket = new AdmissionTicket<>(team, Math.max(1, cost), priority, payload, this.sequence++,
				now, now + timeout.minus(service).toMillis());
		if (club.waiting() == 0) {
			club.flow().activate(this.virtualTime);
			this.active.add(club);
		}
		club.add(ticket, now);
		this.byLatestStart.add(ticket);
		return new Accepted<>(ticket);
	}

	/**
	 * Starts the next request if one may start.
	 * @return the request, or empty if no waiting request may start now
	 */
	public Optional<AdmissionTicket<T>> poll() {
		ClubQueue<T> club = nextEligibleClub();
		if (club == null) {
			return Optional.empty();
		}
		long now = this.clock.millis();
		AdmissionTicket<T> ticket = club.head();
		this.byLatestStart.remove(ticket);
		this.active.remove(club);
		this.virtualTime = Math.max(this.virtualTime, club.flow().start());
		club.flow().charge(ticket.cost());
		club.start(ticket, now);
		if (club.waiting() > 0) {
			this.active.add(club);
		}
		this.running++;
		ticket.start(now);
		return Optional.of(ticket);
	}

	/**
	 * Removes the waiting requests that can no longer meet their deadlines.
	 * @return the removed requests, none of which has been started
	 */
	public List<AdmissionTicket<T>> expire() {
		List<AdmissionTicket<T>> expired = new ArrayList<>();
		long now = this.clock.millis();
		while (!this.byLatestStart.isEmpty() && this.byLatestStart.first().latestStartMillis() <= now) {
			AdmissionTicket<T> ticket = this.byLatestStart.first();
			remove(ticket);
			club(ticket.team().club()).team(ticket.team()).recordRefusal(now);
			expired.add(ticket);
		}
		return expired;
	}

	/**
	 * Removes a waiting request. Has no effect on a request that has started or ended.
	 * @param ticket ticket from {@link #offer}
	 * @return whether the request was removed; if so, it was never started
	 */
	public boolean cancel(AdmissionTicket<T> ticket) {
		if (!this.byLatestStart.contains(ticket)) {
			return false;
		}
		remove(ticket);
		return true;
	}

	/**
	 * Ends a running request and adjusts its charge to the actual cost. Calls after the
	 * first have no effect.
	 * @param ticket ticket of a running request
	 * @param actual tokens consumed: prompt plus output
	 */
	public void finish(AdmissionTicket<T> ticket, int actual) {
		if (!ticket.running()) {
			return;
		}
		long now = this.clock.millis();
		ClubQueue<T> club = club(ticket.team().club());
		boolean wasActive = this.active.remove(club);
		club.flow().adjustCharge(actual - ticket.cost());
		club.finish(ticket, actual, now);
		if (wasActive) {
			this.active.add(club);
		}
		ticket.end();
		this.running--;
		this.completed.add(actual, now);
	}

	/**
	 * Returns the demand of all clubs that have offered a request.
	 * @return the demand of each club, ordered by club
	 */
	public List<ClubDemand> demand() {
		long now = this.clock.millis();
		return this.clubs.values().stream().map((club) -> club.demand(now)).toList();
	}

	/**
	 * Returns the number of running requests.
	 * @return requests started and not yet finished
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return requests of all clubs, accepted and not yet started
	 */
	public int waiting() {
		return this.byLatestStart.size();
	}

	private @Nullable ClubQueue<T> nextEligibleClub() {
		for (ClubQueue<T> club : this.active) {
			if (mayStart(club)) {
				return club;
			}
		}
		return null;
	}

	private boolean mayStart(ClubQueue<T> club) {
		int limit = this.allocation.limit();
		if (this.running < limit) {
			return true;
		}
		return this.running < limit + this.allocation.overdraft()
				&& club.running() < this.allocation.guarantee(club.id());
	}

	private boolean canStartNow(ClubQueue<T> club) {
		return club.waiting() == 0 && mayStart(club);
	}

	/**
	 * Estimates the wait of a new request from the cost of the waiting requests of its
	 * team and the rate that the team gets while the other active clubs and teams stay
	 * busy.
	 * @param club club of the request
	 * @param team team of the request
	 * @return the wait, zero if the rate is not known or no request of the team waits
	 */
	private Duration expectedWait(ClubQueue<T> club, TeamQueue<T> team) {
		double rate = Math.max(this.allocation.tokensPerSecond(), this.completed.ratePerSecond(this.clock.millis()));
		if (rate <= 0 || team.waitingCost() == 0) {
			return Duration.ZERO;
		}
		double clubWeights = this.active.stream().mapToDouble((each) -> each.flow().weight()).sum();
		double teamWeights = club.active().stream().mapToDouble((each) -> each.flow().weight()).sum();
		double teamRate = rate * club.flow().weight() / clubWeights * team.flow().weight() / teamWeights;
		return Duration.ofMillis((long) (team.waitingCost() / teamRate * MILLIS_PER_SECOND));
	}

	private double weight(ClubId club) {
		return this.allocation.rates().clubRate(club, this.weights);
	}

	private double weight(TeamKey team) {
		return this.allocation.rates().teamRate(team, this.weights);
	}

	private void remove(AdmissionTicket<T> ticket) {
		this.byLatestStart.remove(ticket);
		ClubQueue<T> club = club(ticket.team().club());
		club.remove(ticket);
		if (club.waiting() == 0) {
			this.active.remove(club);
		}
		ticket.end();
	}

	private ClubQueue<T> club(ClubId id) {
		return this.clubs.computeIfAbsent(id, (key) -> new ClubQueue<>(key, this::weight, weight(key)));
	}

	private static Duration retryAfter(Duration wait) {
		Duration least = (wait.compareTo(MIN_RETRY_AFTER) < 0) ? MIN_RETRY_AFTER : wait;
		return (least.compareTo(MAX_RETRY_AFTER) > 0) ? MAX_RETRY_AFTER : least;
	}

	/**
	 * Result of {@link #offer}: accepted or rejected.
	 *
	 * @param <T> type of the object that the caller attaches to a request
	 */
	public sealed interface OfferResult<T> {

	}

	/**
	 * The request was accepted and waits.
	 *
	 * @param ticket identifies the request in later calls
	 * @param <T> type of the object that the caller attaches to a request
	 */
	public record Accepted<T>(AdmissionTicket<T> ticket) implements OfferResult<T> {

	}

	/**
	 * The request was not accepted and will not be run.
	 *
	 * @param reason cause, as text for the caller
	 * @param retryAfter time after which a repetition can succeed, from 1 s to 30 s
	 * @param <T> type of the object that the caller attaches to a request
	 */
	public record Rejected<T>(String reason, Duration retryAfter) implements OfferResult<T> {

	}

}
