package io.bilberryvalve.daemon.report;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

/**
 * Counts good and bad events over a sliding time window. The window consists of 60 slots
 * of equal length that expire one at a time, so its effective length varies by one slot.
 * Safe for use by several threads.
 */
final class RollingCounter {

	private static final int SLOTS = 60;

	private final Clock clock;

	private final long slotMillis;

	private final AtomicReferenceArray<@Nullable Slot> slots = new AtomicReferenceArray<>(SLOTS);

	RollingCounter(Clock clock, Duration window) {
		this.clock = clock;
		this.slotMillis = Math.max(1, window.toMillis() / SLOTS);
	}

	void add(long good, long bad) {
		Slot slot = currentSlot();
		slot.good.add(good);
		slot.bad.add(bad);
	}

	long good() {
		return sum((slot) -> slot.good.sum());
	}

	long bad() {
		return sum((slot) -> slot.bad.sum());
	}

	private long sum(ToLongFunction<Slot> value) {
		long oldest = currentSlotNumber() - SLOTS + 1;
		long total = 0;
		for (int i = 0; i < SLOTS; i++) {
			Slot slot = this.slots.get(i);
			if (slot != null && slot.number >= oldest) {
				total += value.applyAsLong(slot);
			}
		}
		return total;
	}

	private Slot currentSlot() {
		long number = currentSlotNumber();
		int index = (int) (number % SLOTS);
		Slot found = this.slots.get(index);
		while (found == null || found.number < number) {
			Slot fresh = new Slot(number);
			if (this.slots.compareAndSet(index, found, fresh)) {
				return fresh;
			}
			found = this.slots.get(index);
		}
		return found;
	}

	private long currentSlotNumber() {
		return this.clock.millis() / this.slotMillis;
	}

	/**
	 * Event counts of one slot, whose number is the time divided by the slot length.
	 */
	private static final class Slot {

		private final long number;

		private final LongAdder good = new LongAdder();

		private final LongAdder bad = new LongAdder();

		Slot(long number) {
			this.number = number;
		}

	}

}
