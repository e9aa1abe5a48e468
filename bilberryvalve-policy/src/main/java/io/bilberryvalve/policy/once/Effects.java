package io.bilberryvalve.policy.once;

import java.time.Instant;

/**
 * What a key's state machine may cause.
 */
interface Effects {

	Instant now();

	String nextToken();

	Instant forgetAt();

	boolean expired(ExecutionRecord record);

	void answer(long call, ExecutionAnswer answer);

	void dispatch(long call, ExecutionKey key);

	void write(ExecutionKey key);

	void settled(int resultLength);

	void forget(ExecutionKey key);

}
