package io.bilberryvalve.standins.engine;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Events of the prefix cache. They show late, and every n-th is lost.
 */
final class CacheEvents {

	private static final int CAPACITY = 4096;

	private final Clock clock;

	private final Duration lag;

	private final int gapEvery;

	private final Deque<Pending> events = new ArrayDeque<>();

	private long sequence;

	/**
	 * Creates an empty log.
	 * @param clock measures the delay
	 * @param lag time after which an event shows
	 * @param gapEvery each event with a sequence divisible by this number is lost, 0 for
	 * none
	 */
	CacheEvents(Clock clock, Duration lag, int gapEvery) {
		this.clock = clock;
		this.lag = lag;
		this.gapEvery = gapEvery;
	}

	synchronized void add(String action, String prefix) {
		this.sequence++;
		if (this.gapEvery > 0 && this.sequence % this.gapEvery == 0) {
			return;
		}
		this.events.add(new Pending(this.clock.instant().plus(this.lag), new Event(this.sequence, action, prefix)));
		if (this.events.size() > CAPACITY) {
			this.events.remove();
		}
	}

	/**
	 * Returns the events that show by now.
	 * @param after only events with a higher sequence
	 * @return the events
	 */
	synchronized Page after(long after) {
		Instant now = this.clock.instant();
		List<Event> page = new ArrayList<>();
		long next = after + 1;
		for (Pending pending : this.events) {
			if (pending.event().sequence() > after && !pending.visibleAt().isAfter(now)) {
				page.add(pending.event());
				next = pending.event().sequence() + 1;
			}
		}
		return new Page(page, next);
	}

	private record Pending(Instant visibleAt, Event event) {

	}

	/**
	 * A change of the prefix cache.
	 *
	 * @param sequence sequence number, from 1
	 * @param action {@code stored} or {@code removed}
	 * @param prefix hash of the prefix, see {@link PrefixCache}
	 */
	public record Event(long sequence, String action, String prefix) {

	}

	/**
	 * The document of {@code GET /v1/cache-events}.
	 *
	 * @param events the events
	 * @param next sequence that the next event has at least
	 */
	public record Page(List<Event> events, long next) {

	}

}
