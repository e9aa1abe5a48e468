package io.bilberryvalve.policy.queue;

import java.util.Comparator;

/**
 * A request in a {@link WaitQueue}.
 *
 * @param <T> type of the requests
 */
final class Waiting<T> {

	/** Order within a team: earliest time until which the answer can be on time. */
	static final Comparator<Waiting<?>> BY_DEADLINE = Comparator
		.comparingLong((Waiting<?> waiting) -> waiting.demand.limits().onTimeUntil())
		.thenComparingLong((waiting) -> waiting.sequence);

	/** Order in which the wait limits end. */
	static final Comparator<Waiting<?>> BY_REJECTION = Comparator
		.comparingLong((Waiting<?> waiting) -> waiting.demand.limits().rejectAt())
		.thenComparingLong((waiting) -> waiting.sequence);

	private static final long NEVER = Long.MAX_VALUE;

	private final T item;

	private final RequestDemand demand;

	private final long sequence;

	private final long longestPassing;

	private long passedOverAt = NEVER;

	private boolean late;

	private boolean held;

	Waiting(T item, RequestDemand demand, long now, long sequence) {
		this.item = item;
		this.demand = demand;
		this.sequence = sequence;
		this.late = now >= demand.limits().onTimeUntil();
		long useful = this.late ? Long.MAX_VALUE : demand.limits().onTimeUntil();
		this.longestPassing = (Math.min(useful, demand.limits().rejectAt()) - now) / 2;
	}

	T item() {
		return this.item;
	}

	RequestDemand demand() {
		return this.demand;
	}

	long sequence() {
		return this.sequence;
	}

	boolean isLate() {
		return this.late;
	}

	void setLate() {
		this.late = true;
	}

	// Records that a request behind this one got a slot because this one fitted nowhere.
	void passedOver(long now) {
		this.passedOverAt = Math.min(this.passedOverAt, now);
	}

	// Returns whether this request has been passed over for so long that the next
	// capacity is reserved for it.
	boolean isDue(long now) {
		return this.passedOverAt != NEVER && now - this.passedOverAt >= this.longestPassing;
	}

	// Records that capacity was reserved for this request.
	void hold() {
		this.held = true;
	}

	boolean wasHeld() {
		return this.held;
	}

}
