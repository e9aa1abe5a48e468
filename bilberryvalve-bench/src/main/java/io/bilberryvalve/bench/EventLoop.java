package io.bilberryvalve.bench;

import java.time.Clock;
import java.time.Duration;
import java.util.PriorityQueue;

import io.bilberryvalve.model.clock.ManualClock;

/**
 * Runs events in the order of their times on a manual clock. Events at the same time run
 * in the order in which they were scheduled, so a run depends on its seed only.
 */
public final class EventLoop {

	private static final double NANOS_PER_SECOND = 1e9;

	private final ManualClock clock = new ManualClock();

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private long now;

	private long sequence;

	/**
	 * Returns the clock that the loop advances.
	 * @return the clock
	 */
	public Clock clock() {
		return this.clock;
	}

	/**
	 * Returns the time since the start.
	 * @return time in seconds
	 */
	public double seconds() {
		return this.now / NANOS_PER_SECOND;
	}

	/**
	 * Schedules an event.
	 * @param seconds delay in seconds, not negative
	 * @param action what happens
	 */
	public void after(double seconds, Runnable action) {
		long time = this.now + Math.round(seconds * NANOS_PER_SECOND);
		this.events.add(new Event(time, this.sequence++, action));
	}

	/**
	 * Runs events until the given time. Later events stay scheduled.
	 * @param seconds time in seconds since the start
	 */
	public void runUntil(double seconds) {
		long end = Math.round(seconds * NANOS_PER_SECOND);
		while (!this.events.isEmpty() && this.events.peek().time <= end) {
			Event event = this.events.poll();
			advanceTo(event.time);
			event.action.run();
		}
		advanceTo(end);
	}

	private void advanceTo(long time) {
		this.clock.advance(Duration.ofNanos(time - this.now));
		this.now = time;
	}

	/**
	 * A scheduled event.
	 *
	 * @param time time in nanoseconds since the start
	 * @param sequence order among events of the same time
	 * @param action what happens
	 */
	private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int order = Long.compare(this.time, other.time);
			return (order != 0) ? order : Long.compare(this.sequence, other.sequence);
		}

	}

}
