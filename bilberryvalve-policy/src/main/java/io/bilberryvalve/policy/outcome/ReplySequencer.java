package io.bilberryvalve.policy.outcome;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Decides which token events of a reply are delivered. It accepts only the next index of
 * the current attempt epoch, and only if the trace covers all layers of the model exactly
 * once and in order. Epoch and index share one atomic word, so that an event of an old
 * epoch cannot be accepted after the epoch has advanced, whichever thread passes it in.
 * Safe for use by several threads without locks.
 */
public final class ReplySequencer {

	private static final int EPOCH_SHIFT = 32;

	private static final long INDEX_MASK = 0x7fff_ffffL;

	private static final long ENDED_BIT = 1L << 31;

	private final int layers;

	private final AtomicLong state;

	private final AtomicLongArray decisionCounts = new AtomicLongArray(Verdict.values().length);

	/**
	 * Creates a sequencer at the start of a reply.
	 * @param layers number of layers of the model, positive
	 */
	public ReplySequencer(int layers) {
		this(layers, new ReplyPosition(1, 0));
	}

	/**
	 * Creates a sequencer in the middle of a reply.
	 * @param layers number of layers of the model, positive
	 * @param start epoch and index to start at
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public ReplySequencer(int layers, ReplyPosition start) {
		if (layers < 1 || start.epoch() < 1 || start.nextIndex() < 0) {
			throw new IllegalArgumentException("layers and epoch must be at least 1, the index at least 0");
		}
		this.layers = layers;
		this.state = new AtomicLong(pack(start.epoch(), start.nextIndex()));
	}

	/**
	 * Decides what happens to an event and, if it is to be delivered, advances to the
	 * next index.
	 * @param event event reported by an engine
	 * @return the decision; the caller delivers the event only for
	 * {@link Verdict#DELIVER}
	 */
	public Verdict accept(TokenEvent event) {
		Verdict decision = classify(event);
		this.decisionCounts.incrementAndGet(decision.ordinal());
		return decision;
	}

	private Verdict classify(TokenEvent event) {
		boolean covered = event.traceCovers(this.layers);
		while (true) {
			long current = this.state.get();
			Verdict decision = compare(current, event);
			if (decision != Verdict.DELIVER) {
				return decision;
			}
			if (!covered) {
				return Verdict.BAD_TRACE;
			}
			long next = pack(event.epoch(), event.index() + 1) | (event.last() ? ENDED_BIT : 0);
			if (this.state.compareAndSet(current, next)) {
				return Verdict.DELIVER;
			}
		}
	}

	private static Verdict compare(long current, TokenEvent event) {
		if ((current & ENDED_BIT) != 0) {
			return Verdict.ENDED;
		}
		if (event.epoch() != epoch(current)) {
			return (event.epoch() < epoch(current)) ? Verdict.OLD_EPOCH : Verdict.FUTURE_EPOCH;
		}
		if (event.index() != nextIndex(current)) {
			return (event.index() < nextIndex(current)) ? Verdict.DUPLICATE : Verdict.GAP;
		}
		return Verdict.DELIVER;
	}

	/**
	 * Starts the next epoch. From now on no event of the former one is accepted.
	 * @return the new epoch and the index at which the reply continues
	 * @throws IllegalStateException if the reply has ended
	 */
	public ReplyPosition advanceEpoch() {
		long moved = this.state.updateAndGet(
				(current) -> ((current & ENDED_BIT) != 0) ? current : pack(epoch(current) + 1, nextIndex(current)));
		if ((moved & ENDED_BIT) != 0) {
			throw new IllegalStateException("the reply has ended; no further epoch can start");
		}
		return new ReplyPosition(epoch(moved), nextIndex(moved));
	}

	/**
	 * Ends the reply. From now on no event is accepted.
	 * @return the position at which it ended
	 */
	public ReplyPosition end() {
		long ended = this.state.updateAndGet((current) -> current | ENDED_BIT);
		return new ReplyPosition(epoch(ended), nextIndex(ended));
	}

	/**
	 * Returns the current position.
	 * @return current epoch and index of the next token
	 */
	public ReplyPosition position() {
		long current = this.state.get();
		return new ReplyPosition(epoch(current), nextIndex(current));
	}

	/**
	 * Returns whether the reply has ended.
	 * @return whether the last token was delivered or {@link #end()} was called
	 */
	public boolean ended() {
		return (this.state.get() & ENDED_BIT) != 0;
	}

	/**
	 * Returns how often a decision was made.
	 * @param decision the decision to count
	 * @return number of events
	 */
	public long count(Verdict decision) {
		return this.decisionCounts.get(decision.ordinal());
	}

	/**
	 * Returns the number of events that were not delivered.
	 * @return number of events with another decision than {@link Verdict#DELIVER}
	 */
	public long droppedCount() {
		long sum = 0;
		for (Verdict decision : Verdict.values()) {
			sum += (decision != Verdict.DELIVER) ? count(decision) : 0;
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
