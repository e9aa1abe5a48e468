package io.bilberryvalve.gateway.relay;

import org.jspecify.annotations.Nullable;

/**
 * Events of one response that the caller has received before, in this request or from
 * another runner. A runner that continues a stream may repeat some, but must get on to
 * the last one that the caller has. Used on the event loop of the caller's connection
 * only.
 */
final class RepeatedEvents {

	private @Nullable String last;

	private boolean repeating;

	/**
	 * Returns the last event that was repeated.
	 * @return identifier of the event, or {@code null} if none was repeated
	 */
	@Nullable String last() {
		return this.last;
	}

	/**
	 * Returns whether no new event has followed the last repeated one yet.
	 * @return {@code false} also if no event was repeated
	 */
	boolean isRepeating() {
		return this.repeating;
	}

	/** Records an event that the caller lacks. */
	void recordNew() {
		this.repeating = false;
	}

	/**
	 * Records a repeated event.
	 * @param id identifier of the event
	 * @return whether it follows the previous repeated one; otherwise the runner may
	 * repeat events for ever
	 */
	boolean recordRepeated(@Nullable String id) {
		String previous = this.last;
		this.last = id;
		this.repeating = true;
		return id == null || previous == null || follows(id, previous);
	}

	private static boolean follows(String id, String previous) {
		try {
			return Long.parseLong(id) > Long.parseLong(previous);
		}
		catch (NumberFormatException ex) {
			return !id.equals(previous);
		}
	}

}
