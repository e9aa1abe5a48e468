package io.bilberryvalve.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Lists the entries that callers may use.
 */
public final class EntriesCommand extends EntryOptions {

	@Override
	public String summary() {
		return "entries: lists the entries that callers may use";
	}

	@Override
	public ExitCode run(Console console) {
		JsonNode node = client(console).fetch("/v1/entries").json();
		if (this.json) {
			console.out().println(node);
			return ExitCode.OK;
		}
		for (JsonNode entry : node.path("entries")) {
			console.out().println(entry.path("address").asText() + " " + entry.path("dataCentre").asText());
		}
		console.err().println("valid for " + node.path("ttlSeconds").asLong() + " s");
		return ExitCode.OK;
	}

}
