package io.bilberryvalve.gateway.http;

import java.util.Set;

/**
 * Names of the HTTP headers that callers, the router and runners of a deployment
 * exchange.
 *
 * @param attemptId identifier that a caller gives to one attempt; runners repeat it in
 * their responses
 * @param deadline time in milliseconds that is left for the request
 * @param apiKey API key of the caller
 * @param team team of the caller, set for the runner
 * @param expectedRunner the only runner that may run the request
 * @param path addresses of the runners on the path of the request, with their layers
 * @param urgency priority of the request at the runner
 * @param tokenCounts number of prompt tokens and largest number of answer tokens,
 * separated by a comma
 * @param promptParts identifiers of the parts of the prompt with their numbers of tokens,
 * in the order of the prompt
 * @param expectedAnswerTokens expected number of answer tokens
 * @param lastEventId identifier of the last event that the caller received
 * @param responseSignature signature of the runner for its response
 * @param notRun set by a runner that has not run the request
 * @param faultyRunner address of the runner that caused a failure
 * @param leaving set to 1 by a runner that is about to leave, in all its responses
 */
public record HeaderNames(String attemptId, String deadline, String apiKey, String team, String expectedRunner,
		String path, String urgency, String tokenCounts, String promptParts, String expectedAnswerTokens,
		String lastEventId, String responseSignature, String notRun, String faultyRunner, String leaving) {

	/**
	 * Returns the headers of requests to runners that only the router may set. They are
	 * removed from the request of a caller.
	 * @return names of the headers
	 */
	public Set<String> routerOnlyHeaders() {
		return Set.of(this.deadline, this.apiKey, this.team, this.expectedRunner, this.path, this.urgency);
	}

}
