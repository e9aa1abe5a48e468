package io.bilberryvalve.cli;

import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.bilberryvalve.config.ConfigurationDocument;

/**
 * A submission. After a lost answer it is repeated with the same id, which the entries
 * accept at most once, until an answer says what became of it.
 *
 * @param id the id
 * @param base version on which the document is based
 * @param document the document
 */
record Submission(String id, long base, ConfigurationDocument document) {

	private static final int ATTEMPTS = 6;

	/** Wait before the first repetition; doubles each time. */
	private static final Duration FIRST_WAIT = Duration.ofMillis(50);

	/**
	 * Sends the submission.
	 * @param client the client
	 * @param pause waits before a repetition
	 * @return an answer that tells what became of the submission
	 * @throws CommandException if nothing was sent, or if no attempt brought such an
	 * answer
	 */
	Answer.Received send(EntryClient client, Consumer<Duration> pause) {
		Answer answer = client.send("POST", "/v1/configuration", body(), Map.of());
		if (answer instanceof Answer.Unreachable || isFinal(answer, false)) {
			return EntryClient.received(answer);
		}
		for (int i = 1; i < ATTEMPTS; i++) {
			pause.accept(FIRST_WAIT.multipliedBy(1L << (i - 1)));
			client.advance();
			answer = client.send("POST", "/v1/configuration", body(), Map.of());
			if (isFinal(answer, true)) {
				return EntryClient.received(answer);
			}
		}
		throw new CommandException(ExitCode.UNKNOWN, "the submission may have been accepted; repeat the command with "
				+ "--submission " + this.id + " --base " + this.base);
	}

	// After a lost answer, a refusal concerns only the repetition; the lost attempt may
	// have been accepted. A conflict concerns both, because both have the same base.
	private static boolean isFinal(Answer answer, boolean repeated) {
		if (!(answer instanceof Answer.Received received) || received.isProblem("in-progress")) {
			return false;
		}
		if (received.succeeded() || received.isProblem("conflict") || received.isProblem("invalid-configuration")) {
			return true;
		}
		return !repeated && received.json().path("outcome").asText().equals("not-run");
	}

	private String body() {
		return JsonNodeFactory.instance.objectNode()
			.put("submission", this.id)
			.put("baseVersion", this.base)
			.put("part", this.document.part().name())
			.put("document", this.document.canonicalText())
			.toString();
	}

}
