package io.bilberryvalve.cli;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Prints the status of each given entry.
 */
public final class StatusCommand extends EntryOptions {

	@Override
	public String summary() {
		return "status: prints the status of each --entry";
	}

	@Override
	public ExitCode run(Console console) {
		return EachEntry.run(console, client(console), "/v1/status", (node) -> print(console, node));
	}

	private void print(Console console, JsonNode node) {
		if (this.json) {
			console.out().println(node);
			return;
		}
		for (Map.Entry<String, JsonNode> field : node.properties()) {
			JsonNode value = field.getValue();
			console.out().println(field.getKey() + ": " + (value.isTextual() ? value.asText() : value));
		}
	}

}
