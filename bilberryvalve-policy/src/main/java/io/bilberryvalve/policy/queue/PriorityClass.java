package io.bilberryvalve.policy.queue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.jspecify.annotations.Nullable;

/**
 * Waiting requests of one priority, in an order that is fair between teams (start-time
 * fair queueing): the next request is one of the team that has been served the least
 * cost. Only admitted requests are charged. A team that had no requests for a while
 * returns at the level of the others, less a limited credit.
 *
 * @param <T> type of the requests
 */
final class PriorityClass<T> {

	private final Map<String, TeamQueue<T>> teams = new HashMap<>();

	/** Least cost that a team with waiting requests has been served; never decreases. */
	private double level;

	/**
	 * Adds a request.
	 * @param waiting the request
	 * @param credit largest cost that its team may be behind the others if it had no
	 * requests before
	 */
	void add(Waiting<T> waiting, double credit) {
		TeamQueue<T> team = this.teams.computeIfAbsent(waiting.demand().team(), (name) -> new TeamQueue<>());
		if (team.isEmpty()) {
			team.raiseServed(this.level - credit);
		}
		team.add(waiting);
	}

	/**
	 * Removes a request without charging its team.
	 * @param waiting the request
	 */
	void remove(Waiting<T> waiting) {
		TeamQueue<T> team = this.teams.get(waiting.demand().team());
		if (team != null) {
			team.remove(waiting);
			raiseLevel();
		}
	}

	/**
	 * Charges a team for an admitted request.
	 * @param name name of the team
	 * @param cost cost of the request
	 * @param credit largest cost that the team may be behind the others if it has no
	 * other requests
	 */
	void charge(String name, long cost, double credit) {
		TeamQueue<T> team = this.teams.computeIfAbsent(name, (key) -> new TeamQueue<>());
		if (team.isEmpty()) {
			team.raiseServed(this.level - credit);
		}
		team.charge(cost);
		raiseLevel();
	}

	// Without waiting requests, the level is that of the team that was served most, so
	// that no team keeps an arrear or an advantage beyond the credit.
	private void raiseLevel() {
		double least = Double.POSITIVE_INFINITY;
		double most = this.level;
		for (TeamQueue<T> team : this.teams.values()) {
			least = Math.min(least, team.isEmpty() ? least : team.served());
			most = Math.max(most, team.served());
		}
		this.level = Math.max(this.level, (least != Double.POSITIVE_INFINITY) ? least : most);
	}

	/**
	 * Forgets the teams that no longer have requests and have no more credit than a new
	 * one.
	 * @param credit largest credit of a team
	 */
	void forgetIdleTeams(double credit) {
		this.teams.values().removeIf((team) -> team.isEmpty() && team.served() <= this.level - credit);
	}

	boolean isEmpty() {
		return this.teams.values().stream().allMatch(TeamQueue::isEmpty);
	}

	int activeTeams() {
		return (int) this.teams.values().stream().filter((team) -> !team.isEmpty()).count();
	}

	boolean hasTeams() {
		return !this.teams.isEmpty();
	}

	long cost(boolean late) {
		return this.teams.values().stream().mapToLong((team) -> team.cost(late)).sum();
	}

	void moveLate(long now) {
		this.teams.values().forEach((team) -> team.moveLate(now));
	}

	/**
	 * Returns the cost in this class that would be served before a new request that can
	 * be on time.
	 * @param demand the request
	 * @param credit largest credit of its team
	 * @return cost
	 */
	double onTimeCostAhead(RequestDemand demand, double credit) {
		TeamQueue<T> own = this.teams.get(demand.team());
		double before = (own != null) ? own.costUntil(demand.limits().onTimeUntil()) : 0;
		return before + costOfOthers(own, served(own, credit) + before, false);
	}

	/**
	 * Returns the cost in this class that would be served before a new request that is or
	 * becomes late.
	 * @param demand the request
	 * @param credit largest credit of its team
	 * @return cost
	 */
	double lateCostAhead(RequestDemand demand, double credit) {
		TeamQueue<T> own = this.teams.get(demand.team());
		double before = (own != null) ? own.cost(false) + own.cost(true) : 0;
		double othersOnTime = cost(false) - ((own != null) ? own.cost(false) : 0);
		return before + othersOnTime + costOfOthers(own, served(own, credit) + before, true);
	}

	private double served(@Nullable TeamQueue<T> team, double credit) {
		double least = this.level - credit;
		if (team == null) {
			return least;
		}
		return team.isEmpty() ? Math.max(team.served(), least) : team.served();
	}

	// Returns the cost of the other teams that is served before they have been served as
	// much as a given cost.
	private double costOfOthers(@Nullable TeamQueue<T> own, double served, boolean late) {
		double sum = 0;
		for (TeamQueue<T> team : this.teams.values()) {
			if (team != own) {
				double first = late ? team.cost(false) : 0;
				sum += Math.min(team.cost(late), Math.max(0, served - team.served() - first));
			}
		}
		return sum;
	}

	/**
	 * Returns the requests in the order in which they are served. The queue must not
	 * change meanwhile.
	 * @param late whether to return the late requests, or those that can be on time
	 * @return the requests, next one first
	 */
	Iterator<Waiting<T>> inOrder(boolean late) {
		List<Cursor<T>> cursors = new ArrayList<>();
		for (TeamQueue<T> team : this.teams.values()) {
			if (!team.waiting(late).isEmpty()) {
				cursors.add(new Cursor<>(team, late));
			}
		}
		if (cursors.isEmpty()) {
			return Collections.emptyIterator();
		}
		return new Merged<>(cursors);
	}

	/** Position within the requests of a team. */
	private static final class Cursor<T> {

		private final Iterator<Waiting<T>> remaining;

		private Waiting<T> next;

		private double served;

		Cursor(TeamQueue<T> team, boolean late) {
			this.remaining = team.waiting(late).iterator();
			this.next = this.remaining.next();
			this.served = team.served();
		}

		double served() {
			return this.served;
		}

		Waiting<T> next() {
			return this.next;
		}

		// Moves to the next request as if the present one was admitted.
		boolean advance() {
			this.served += this.next.demand().cost();
			boolean more = this.remaining.hasNext();
			if (more) {
				this.next = this.remaining.next();
			}
			return more;
		}

	}

	/** Merges the requests of the teams. */
	private static final class Merged<T> implements Iterator<Waiting<T>> {

		private final PriorityQueue<Cursor<T>> cursors = new PriorityQueue<>(
				Comparator.comparingDouble((Cursor<T> cursor) -> cursor.served())
					.thenComparing(Cursor::next, Waiting.BY_DEADLINE));

		Merged(List<Cursor<T>> cursors) {
			this.cursors.addAll(cursors);
		}

		@Override
		public boolean hasNext() {
			return !this.cursors.isEmpty();
		}

		@Override
		public Waiting<T> next() {
			Cursor<T> cursor = this.cursors.remove();
			Waiting<T> next = cursor.next();
			if (cursor.advance()) {
				this.cursors.add(cursor);
			}
			return next;
		}

	}

}
