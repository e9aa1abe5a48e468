package io.bilberryvalve.gateway.relay;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory for parts of responses that wait for their rest, over all requests of
 * this daemon. Small responses do not count, so that they are not affected by runners
 * whose responses do not end. Safe for use by several threads.
 */
final class ResponseMemory {

	/** Limit for all responses together; a small part of the smallest heap. */
	private static final long MAX_BYTES = 24L << 20;

	/** Bytes of each response that do not count. */
	private static final long UNCOUNTED_BYTES = 1 << 16;

	private final AtomicLong counted = new AtomicLong();

	/**
	 * Changes the memory of a response.
	 * @param before bytes that it took until now
	 * @param after bytes that it takes now
	 * @return whether it may take them; {@code false} if it is not small and all
	 * responses together exceed the limit
	 */
	boolean resize(long before, long after) {
		long change = excess(after) - excess(before);
		long total = (change != 0) ? this.counted.addAndGet(change) : this.counted.get();
		return excess(after) == 0 || total <= MAX_BYTES;
	}

	private static long excess(long bytes) {
		return Math.max(0, bytes - UNCOUNTED_BYTES);
	}

	/**
	 * Returns the counted memory of all responses.
	 * @return number of bytes
	 */
	long countedBytes() {
		return this.counted.get();
	}

}
