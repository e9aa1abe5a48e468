package io.bilberryvalve.daemon.call;

import java.io.IOException;
import java.util.Base64;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Complete answer of an application runner.
 *
 * @param status status code of HTTP
 * @param contentType content type
 * @param body the body
 */
public record CallResult(int status, String contentType, byte[] body) {

	private static final ObjectMapper JSON = new ObjectMapper();

	/**
	 * Returns the text form for an execution record.
	 * @return a JSON object with the body in Base64
	 */
	public String encode() {
		return JSON.createObjectNode()
			.put("status", this.status)
			.put("contentType", this.contentType)
			.put("body", Base64.getEncoder().encodeToString(this.body))
			.toString();
	}

	/**
	 * Parses the text form.
	 * @param text the text
	 * @return the answer
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static CallResult decode(String text) {
		try {
			JsonNode node = JSON.readTree(text);
			return new CallResult(node.path("status").asInt(), node.path("contentType").asText(),
					Base64.getDecoder().decode(node.path("body").asText()));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the result of an execution record is damaged", ex);
		}
	}

}
