package io.bilberryvalve.platform.watch;

import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

/**
 * Latest era of the store that this daemon has seen in any response, whatever its table
 * or status. A later era means that the store was restored from a copy, so that all rows
 * read before may differ from those that it holds now. Safe for use by several threads.
 */
public final class StoreEra {

	private final AtomicLong current = new AtomicLong();

	private final CopyOnWriteArrayList<LongConsumer> listeners = new CopyOnWriteArrayList<>();

	/**
	 * Returns the latest era seen.
	 * @return number of the era, 0 before the first response and for a store that states
	 * none
	 */
	public long current() {
		return this.current.get();
	}

	/**
	 * Records the era of a response.
	 * @param era era that the response states, 0 if it states none
	 * @return {@code false} if the response is from an earlier era than one seen before
	 * and must be discarded
	 */
	public boolean observe(long era) {
		long before = this.current.getAndAccumulate(era, Math::max);
		if (era > before) {
			this.listeners.forEach((listener) -> listener.accept(era));
		}
		return era >= before;
	}

	/**
	 * Adds a listener for each later era.
	 * @param listener receives the number of the era on the thread that has decoded the
	 * response; it must not block
	 */
	public void onChange(LongConsumer listener) {
		this.listeners.add(listener);
	}

}
