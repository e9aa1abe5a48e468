package io.bilberryvalve.policy.outcome;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Decides which token events of a reply are delivered. It accepts only the next index of
 * the current epoch, and only if the trace covers the model exactly once and in order.
 * Epoch and index share one atomic word, so that an event of an old epoch cannot be
 * accepted after the ledger has moved on, whichever thread brings it.
 */
public final class ReplySequencer {

	private static final int EPOCH_SHIFT = 32;

	private static final long INDEX_MASK = 0x7fff_ffffL;

	private static final long ENDED_BIT = 1L << 31;

	private final int layers;

	private final AtomicLong state;

	private final AtomicLongArray decisionCounts = new AtomicLongArray(DeliveryDecision.values().length);

	/**
	 * Creates a ledger at the start of a reply.
	 * @param layers number of layers of the model, positive
	 */
	public ReplySequencer(int layers) {
		this(layers, new ReplyPosition(1, 0));
	}

	/**
	 * Creates a ledger in the middle of a reply.
	 * @param layers number of layers of the model, positive
	 * @param start epoch and index to start at
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public ReplySequencer(int layers, ReplyPosition start) {
		if (layers < 1 || start.epoch() < 1 || start.nextIndex() < 0) {
			throw new IllegalArgumentException("layers and epoch start at 1 and the index at 0");
		}
		this.layers = layers;
		this.state = new AtomicLong(pack(start.epoch(), start.nextIndex()));
	}

	/**
	 * Judges an event and, if it is the next one, counts it as delivered.
	 * @param event the event
	 * @return the verdict; the caller delivers the event only for
	 * {@link DeliveryDecision#DELIVER}
	 */
	public DeliveryDecision accept(TokenEvent event) {
		DeliveryDecision verdict = classify(event);
		this.decisionCounts.incrementAndGet(verdict.ordinal());
		return verdict;
	}

	private DeliveryDecision classify(TokenEvent event) {
		boolean covers = event.traceCovers(this.layers);
		while (true) {
			long current = this.state.get();
			DeliveryDecision verdict = compare(current, event);
			if (verdict != DeliveryDecision.DELIVER) {
				return verdict;
			}
			if (!covers) {
				return DeliveryDecision.BAD_TRACE;
			}
			long next = pack(event.epoch(), event.index() + 1) | (event.last() ? ENDED_BIT : 0);
			if (this.state.compareAndSet(current, next)) {
				return DeliveryDecision.DELIVER;
			}
		}
	}

	private static DeliveryDecision compare(long current, TokenEvent event) {
		if ((current & ENDED_BIT) != 0) {
			return DeliveryDecision.ENDED;
		}
		if (event.epoch() != epoch(current)) {
			return (event.epoch() < epoch(current)) ? DeliveryDecision.OLD_EPOCH : DeliveryDecision.FUTURE_EPOCH;
		}
		if (event.index() != nextIndex(current)) {
			return (event.index() < nextIndex(current)) ? DeliveryDecision.DUPLICATE : DeliveryDecision.GAP;
		}
		return DeliveryDecision.DELIVER;
	}

	/**
	 * Moves to the next epoch, so that no event of the current one is accepted any more.
	 * @return the new epoch and the index at which it continues
	 * @throws IllegalStateException if the reply has ended
	 */
	public ReplyPosition advanceEpoch() {
		long moved = this.state.updateAndGet(
				(current) -> ((current & ENDED_BIT) != 0) ? current : pack(epoch(current) + 1, nextIndex(current)));
		if ((moved & ENDED_BIT) != 0) {
			throw new IllegalStateException("the reply has ended; no epoch follows");
		}
		return new ReplyPosition(epoch(moved), nextIndex(moved));
	}

	/**
	 * Ends the reply; no event is accepted any more.
	 * @return the position at which it ended
	 */
	public ReplyPosition end() {
		long ended = this.state.updateAndGet((current) -> current | ENDED_BIT);
		return new ReplyPosition(epoch(ended), nextIndex(ended));
	}

	/**
	 * Returns the current position.
	 * @return epoch and next index
	 */
	public ReplyPosition position() {
		long current = this.state.get();
		return new ReplyPosition(epoch(current), nextIndex(current));
	}

	/**
	 * Tells whether the reply has ended.
	 * @return whether the last token was delivered or {@link #end()} was called
	 */
	public boolean ended() {
		return (this.state.get() & ENDED_BIT) != 0;
	}

	/**
	 * Returns how often a verdict was given.
	 * @param verdict the verdict
	 * @return number of events
	 */
	public long count(DeliveryDecision verdict) {
		return this.decisionCounts.get(verdict.ordinal());
	}

	/**
	 * Returns the number of events that were not delivered.
	 * @return number of dropped events
	 */
	public long droppedCount() {
		long sum = 0;
		for (DeliveryDecision verdict : DeliveryDecision.values()) {
			sum += (verdict != DeliveryDecision.DELIVER) ? count(verdict) : 0;
		}
		return sum;
	}

	private static long pack(int epoch, int next) {
		return ((long) epoch << EPOCH_SHIFT) | next;
	}

	private static int epoch(long word) {
		return (int) (word >>> EPOCH_SHIFT);
	}

	private static int nextIndex(long word) {
		return (int) (word & INDEX_MASK);
	}

}
