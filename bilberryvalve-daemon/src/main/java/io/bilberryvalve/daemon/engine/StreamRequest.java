package io.bilberryvalve.daemon.engine;

import java.util.List;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.PlanKey;

/**
 * Request to the first engine of a chain to start or continue a stream.
 *
 * @param stream id of the request that the stream belongs to
 * @param epoch number of the attempt, from 1
 * @param club club of the caller
 * @param key model version and adapter
 * @param prompt prompt of the caller
 * @param delivered texts of the tokens delivered so far, from index 0
 * @param maxTokens maximum length of the reply in tokens, including the delivered ones
 * @param priority priority from -10 (low) to 10 (high)
 * @param chain stages that compute the stream; the engine of the first one receives this
 * request
 */
public record StreamRequest(RequestId stream, int epoch, ClubId club, PlanKey key, String prompt,
		List<String> delivered, int maxTokens, int priority, Chain chain) {

	/**
	 * Makes an immutable copy of the delivered texts.
	 */
	public StreamRequest {
		delivered = List.copyOf(delivered);
	}

}
