package io.bilberryvalve.daemon.reply;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.daemon.http.Problems;
import io.bilberryvalve.model.EventId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.RequestId;

/**
 * Formats the server-sent events that callers receive.
 */
final class ReplyEvents {

	/** Last event of a complete reply. */
	static final String DONE = "data: [DONE]\n\n";

	private static final ObjectMapper JSON = new ObjectMapper();

	private ReplyEvents() {
	}

	static String token(RequestId request, ReplyToken token) {
		ObjectNode node = JSON.createObjectNode();
		node.put("id", request.toString());
		node.put("index", token.index());
		node.put("text", token.text());
		node.put("finish_reason", token.finishReason());
		EventId id = new EventId(request, token.epoch(), token.index(), token.runner());
		return "id: " + id + "\ndata: " + node + "\n\n";
	}

	static String problem(Problem problem) {
		return "event: problem\ndata: " + Problems.document(problem) + "\n\n";
	}

}
