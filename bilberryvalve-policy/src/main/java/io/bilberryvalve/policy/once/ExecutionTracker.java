package io.bilberryvalve.policy.once;

import java.time.Instant;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * State machine that decides which calls may be dispatched. It takes
 * {@linkplain ExecutionEvent events} and returns {@linkplain ExecutionAction actions}. An
 * instance is not safe for use by several threads.
 */
public interface ExecutionTracker {

	/**
	 * Handles an event.
	 * @param event what happened
	 * @return actions to carry out, in this order
	 */
	List<ExecutionAction> handle(ExecutionEvent event);

	/**
	 * Returns when the next {@link ExecutionEvent.Tick} is due.
	 * @return time on the clock of the tracker, or {@code null} if no tick is needed
	 */
	@Nullable Instant nextTick();

	/**
	 * Returns the number of keys whose record or result is not yet in the table service.
	 * A daemon that leaves waits until there are none, because after the loss of a result
	 * the outcome of later repetitions of its call is unknown.
	 * @return number of keys
	 */
	int unsettledKeys();

}
