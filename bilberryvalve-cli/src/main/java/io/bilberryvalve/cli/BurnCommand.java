package io.bilberryvalve.cli;

import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Prints how fast each club consumes its error budget at each given entry.
 */
public final class BurnCommand extends EntryOptions {

	private static final String ROW = "%-16s %-20s %8s %10s %10s %10s %8s%n";

	@Override
	public String summary() {
		return "report burn: prints for each --entry how fast each club consumes its error budget";
	}

	@Override
	public ExitCode run(Console console) {
		return EachEntry.run(console, client(console), "/v1/burn", (node) -> print(console, node));
	}

	private void print(Console console, JsonNode node) {
		if (this.json) {
			console.out().println(node);
			return;
		}
		console.out().println("entry " + node.path("entry").asText());
		console.out().printf(ROW, "club", "objective", "target", "window/s", "good", "bad", "burn");
		for (JsonNode row : node.path("rows")) {
			console.out()
				.printf(ROW, row.path("club").asText(), row.path("objective").asText(), row.path("target").asText(),
						row.path("windowSeconds").asText(), row.path("good").asText(), row.path("bad").asText(),
						String.format(Locale.ROOT, "%.2f", row.path("burnRate").asDouble()));
		}
	}

}
