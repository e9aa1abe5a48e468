package io.bilberryvalve.gateway.http;

import java.util.Set;

/**
 * Header names that callers and runners of a deployment use.
 *
 * @param attemptId identifies one attempt of a caller; runners repeat it in their
 * responses
 * @param deadline milliseconds that the caller waits
 * @param apiKey API key of the caller
 * @param team team of the caller, for the runner
 * @param expectedRunner runner that may run the request
 * @param path runners that the request passes
 * @param urgency rank of the request at the runner
 * @param tokenCounts number of prompt tokens and largest number of answer tokens
 * @param expectedAnswerTokens expected number of answer tokens
 * @param lastEventId last event that the caller received
 * @param responseSignature signature of a runner under its response
 * @param notRun states that a runner has not run the request
 * @param faultyRunner address of the runner that caused a failure
 */
public record HeaderNames(String attemptId, String deadline, String apiKey, String team, String expectedRunner,
		String path, String urgency, String tokenCounts, String expectedAnswerTokens, String lastEventId,
		String responseSignature, String notRun, String faultyRunner) {

	/**
	 * Returns the headers that only the router may set at a runner.
	 * @return header names
	 */
	public Set<String> routerOnlyHeaders() {
		return Set.of(this.deadline, this.apiKey, this.team, this.expectedRunner, this.path, this.urgency);
	}

}
