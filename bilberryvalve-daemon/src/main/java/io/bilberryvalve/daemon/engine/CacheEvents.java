package io.bilberryvalve.daemon.engine;

import java.util.List;

/**
 * Changes to the prefix cache of an engine. Events arrive with a delay, and some may be
 * missing.
 *
 * @param events the events, ordered by sequence number
 * @param nextSequence lower bound of the sequence number of the next event
 */
public record CacheEvents(List<CacheEvent> events, long nextSequence) {

	/**
	 * Makes an immutable copy of the events.
	 */
	public CacheEvents {
		events = List.copyOf(events);
	}

	/**
	 * One prefix that an engine added to its cache or evicted from it.
	 *
	 * @param sequence number of the event; the engine increases it by 1 from event to
	 * event
	 * @param stored whether the prefix was stored; otherwise it was evicted
	 * @param prefix hash of the prefix
	 */
	public record CacheEvent(long sequence, boolean stored, String prefix) {

	}

}
