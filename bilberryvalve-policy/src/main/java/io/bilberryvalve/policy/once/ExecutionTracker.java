package io.bilberryvalve.policy.once;

import java.time.Instant;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Decides which calls may be dispatched. An instance is not safe for use by several
 * threads.
 */
public interface ExecutionTracker {

	/**
	 * Takes an event.
	 * @param event the event
	 * @return what to do, in order
	 */
	List<ExecutionAction> handle(ExecutionEvent event);

	/**
	 * Returns when the next {@link ExecutionEvent.Tick} is due.
	 * @return the time, or {@code null} if nothing is due
	 */
	@Nullable Instant nextTick();

	/**
	 * Returns the number of keys whose record or result is not yet in the table service.
	 * A daemon that leaves waits until there are none, because a result that is lost
	 * makes later repetitions of its call unknown.
	 * @return the number
	 */
	int unsettledKeys();

}
