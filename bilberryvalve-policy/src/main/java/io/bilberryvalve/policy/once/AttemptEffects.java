package io.bilberryvalve.policy.once;

import java.time.Instant;

/**
 * What a key's state machine may cause.
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
