package io.bilberryvalve.daemon.engine;

import java.util.List;

/**
 * Changes of the prefix cache of an engine. Events arrive late and may be missing.
 *
 * @param events the events in order
 * @param nextSequence sequence number that the next event has at least
 */
public record CacheEvents(List<CacheEvent> events, long nextSequence) {

	/**
	 * Copies the list.
	 */
	public CacheEvents {
		events = List.copyOf(events);
	}

	/**
	 * A change of the prefix cache.
	 *
	 * @param sequence number of the event, rising without gaps at the engine
	 * @param stored whether the prefix was stored; otherwise it was evicted
	 * @param prefix hash of the prefix
	 */
	public record CacheEvent(long sequence, boolean stored, String prefix) {

	}

}
