package io.bilberryvalve.platform.watch;

import java.time.Duration;

/**
 * Decides how often a {@link TableWatcher} asks the store for changes. Both times are
 * read again for each poll.
 */
public interface PollPace {

	/**
	 * Returns the longest wait of the store for a change.
	 * @return the wait; a poll that the store loses delays the next change by about this
	 * time
	 */
	Duration longestWait();

	/**
	 * Returns the delay before the next poll after one that brought changes. Changes
	 * often come in groups, and reading several at once saves calls.
	 * @return the delay, by which a change may be noticed late
	 */
	Duration delayAfterChange();

}
