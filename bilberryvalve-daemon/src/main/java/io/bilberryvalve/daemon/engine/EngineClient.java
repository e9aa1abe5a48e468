package io.bilberryvalve.daemon.engine;

import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.policy.choice.LoadReport;

/**
 * Sends orders to model engines. No method blocks; a call that fails completes with a
 * failed result and never with an exception.
 */
public interface EngineClient {

	/**
	 * Starts or continues a stream at the first runner of a chain.
	 * @param order the order
	 * @param gate asked after the connection is made and before the first byte is sent;
	 * if it answers false, nothing is sent
	 * @param listener receives the events
	 * @return control of the stream; the first read must be requested
	 */
	EngineStream openStream(StreamRequest order, BooleanSupplier gate, EngineListener listener);

	/**
	 * Reads a stream that an engine keeps.
	 * @param address the engine
	 * @param stream the request
	 * @param from index of the first token
	 * @param club club of the caller; the engine must hold the stream for this club
	 * @param listener receives the events
	 * @return control of the stream; the first read must be requested
	 */
	EngineStream resumeStream(Address address, RequestId stream, int from, ClubId club, EngineListener listener);

	/**
	 * Cancels every epoch of a stream up to a number.
	 * @param address the engine
	 * @param stream the request
	 * @param epoch the highest epoch to cancel
	 * @return whether the engine confirmed
	 */
	CompletionStage<Boolean> cancelStream(Address address, RequestId stream, int epoch);

	/**
	 * Makes an engine import the KV cache of a stream from another engine.
	 * @param target engine that needs the cache
	 * @param stream the request
	 * @param source engine that has the cache
	 * @param epoch epoch that continues with the cache
	 * @return whether the cache was imported
	 */
	CompletionStage<Boolean> pullKvCache(Address target, RequestId stream, Address source, int epoch);

	/**
	 * Asks an engine for its load.
	 * @param address the engine
	 * @return the load
	 */
	CompletionStage<Result<LoadReport>> fetchLoad(Address address);

	/**
	 * Asks an engine for changes of its prefix cache.
	 * @param address the engine
	 * @param after sequence number of the last event seen, 0 for none
	 * @return the events
	 */
	CompletionStage<Result<CacheEvents>> fetchCacheEvents(Address address, long after);

	/**
	 * Uses new connections to an engine from now on, because an open one went silent.
	 * Streams in progress are not affected.
	 * @param address the engine
	 */
	void reconnect(Address address);

}
