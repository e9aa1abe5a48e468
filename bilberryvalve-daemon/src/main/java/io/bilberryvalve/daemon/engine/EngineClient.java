package io.bilberryvalve.daemon.engine;

import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.policy.choice.LoadReport;

/**
 * Client of the model engines, which run the stages of a chain. No method blocks. A call
 * that fails completes with a failed result or {@code false}, never with an exception.
 */
public interface EngineClient {

	/**
	 * Starts or continues a stream at the first runner of a chain.
	 * @param request what the engine has to compute
	 * @param gate called once the connection is established and before the first byte is
	 * sent; if it returns {@code false}, nothing is sent
	 * @param listener receives the events
	 * @return the stream; call {@link EngineStream#read()} to receive its first events
	 */
	EngineStream openStream(StreamRequest request, BooleanSupplier gate, EngineListener listener);

	/**
	 * Reads a stream that an engine still holds, from a given token on.
	 * @param address address of the engine
	 * @param stream id of the request that the stream belongs to
	 * @param from index of the first token to receive
	 * @param club club of the caller; the engine must hold the stream for this club
	 * @param listener receives the events
	 * @return the stream; call {@link EngineStream#read()} to receive its first events
	 */
	EngineStream resumeStream(Address address, RequestId stream, int from, ClubId club, EngineListener listener);

	/**
	 * Cancels all attempts at a stream up to and including an epoch.
	 * @param address address of the engine
	 * @param stream id of the request that the stream belongs to
	 * @param epoch the highest epoch to cancel
	 * @return {@code true} if the engine confirmed, {@code false} if the call failed
	 */
	CompletionStage<Boolean> cancelStream(Address address, RequestId stream, int epoch);

	/**
	 * Makes an engine import the KV cache of a stream from another engine.
	 * @param target address of the engine that needs the cache
	 * @param stream id of the request that the stream belongs to
	 * @param source address of the engine that has the cache
	 * @param epoch epoch that will continue the stream with the cache
	 * @return whether the cache was imported
	 */
	CompletionStage<Boolean> pullKvCache(Address target, RequestId stream, Address source, int epoch);

	/**
	 * Fetches the load report of an engine.
	 * @param address address of the engine
	 * @return the report
	 */
	CompletionStage<Result<LoadReport>> fetchLoad(Address address);

	/**
	 * Fetches changes to the prefix cache of an engine.
	 * @param address address of the engine
	 * @param after sequence number of the last event received, 0 for none
	 * @return the events after that one
	 */
	CompletionStage<Result<CacheEvents>> fetchCacheEvents(Address address, long after);

	/**
	 * Makes later requests to an engine use new connections. Call this after a connection
	 * to the engine went silent, because other idle connections may be dead too. Streams
	 * in progress are not affected.
	 * @param address address of the engine
	 */
	void reconnect(Address address);

}
