package io.bilberryvalve.policy.once;

import java.time.Instant;

/**
 * Effects that a {@link KeyAttempt} can have while it handles one event, and what it
 * needs to know about its surroundings.
 */
interface AttemptEffects {

	Instant now();

	String nextAttemptToken();

	Instant forgetAt();

	boolean expired(ExecutionRecord record);

	void answer(long call, ExecutionAnswer answer);

	void dispatch(long call, ExecutionKey key);

	void write(ExecutionKey key);

	void addResultLength(int resultLength);

	void forget(ExecutionKey key);

}
