package io.bilberryvalve.daemon.engine;

import java.util.List;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.PlanKey;

/**
 * What an engine needs to start or continue a stream.
 *
 * @param stream the request
 * @param epoch attempt epoch, from 1
 * @param club club of the caller
 * @param key model version and adapter
 * @param prompt the prompt
 * @param delivered texts of the tokens delivered so far
 * @param maxTokens largest reply in tokens, counted from index 0
 * @param priority priority from -10 to 10
 * @param chain the chain; its first stage receives the order
 */
public record StreamRequest(RequestId stream, int epoch, ClubId club, PlanKey key, String prompt,
		List<String> delivered, int maxTokens, int priority, Chain chain) {

	/**
	 * Copies the list.
	 */
	public StreamRequest {
		delivered = List.copyOf(delivered);
	}

}
