package io.bilberryvalve.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberryvalve.model.Address;

/**
 * What became of a request.
 */
sealed interface Answer {

	/**
	 * The entry answered.
	 *
	 * @param entry the entry
	 * @param status HTTP status code
	 * @param body body of the response
	 */
	record Received(Address entry, int status, String body) implements Answer {

		private static final ObjectMapper JSON = new ObjectMapper();

		private static final int FIRST_ERROR = 300;

		boolean succeeded() {
			return this.status < FIRST_ERROR;
		}

		/**
		 * Returns the body as JSON.
		 * @return the object, empty if the body is not a JSON object
		 */
		JsonNode json() {
			try {
				JsonNode node = JSON.readTree(this.body);
				return node.isObject() ? node : JSON.createObjectNode();
			}
			catch (JsonProcessingException ex) {
				return JSON.createObjectNode();
			}
		}

		/**
		 * Tells whether the answer is a problem of a kind.
		 * @param kind stable name of the kind
		 * @return whether it is
		 */
		boolean isProblem(String kind) {
			return json().path("type").asText().endsWith(":" + kind);
		}

		/**
		 * Returns an error for an answer that is not a success.
		 * @return the error with the detail, outcome and remedy of the problem document
		 */
		CommandException failure() {
			return failure(json(), this.entry + " answered with status " + this.status);
		}

		static CommandException failure(JsonNode problem, String fallback) {
			String outcome = problem.path("outcome").asText("unknown");
			String text = problem.path("detail").asText(fallback) + " (outcome " + outcome + "); "
					+ problem.path("remedy").asText("ask the operator of the entry");
			if (problem.path("type").asText().endsWith(":invalid-configuration")) {
				return new CommandException(ExitCode.INVALID, text);
			}
			return new CommandException(outcome.equals("not-run") ? ExitCode.REFUSED : ExitCode.UNKNOWN, text);
		}

	}

	/**
	 * No entry accepted a connection, so nothing was sent.
	 *
	 * @param reason what each entry said
	 */
	record Unreachable(String reason) implements Answer {

	}

	/**
	 * The request may have been sent, but no complete answer came.
	 *
	 * @param entry the entry
	 * @param reason what happened
	 */
	record Lost(Address entry, String reason) implements Answer {

	}

}
