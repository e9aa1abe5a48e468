package io.bilberryvalve.daemon.call;

import java.io.IOException;
import java.util.Base64;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Complete HTTP response of an application runner.
 *
 * @param status status code of HTTP
 * @param contentType value of the {@code Content-Type} header
 * @param body response body; the array is not copied
 */
public record CallResult(int status, String contentType, byte[] body) {

	private static final ObjectMapper JSON = new ObjectMapper();

	/**
	 * Encodes this response for an execution record.
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
	 * Parses the JSON text that {@link #encode()} returns.
	 * @param text the text
	 * @return the response
	 * @throws IllegalArgumentException if the text is not valid JSON or the body is not
	 * valid Base64
	 */
	public static CallResult decode(String text) {
		try {
			JsonNode node = JSON.readTree(text);
			return new CallResult(node.path("status").asInt(), node.path("contentType").asText(),
					Base64.getDecoder().decode(node.path("body").asText()));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the result of an execution record is not valid JSON", ex);
		}
	}

}
