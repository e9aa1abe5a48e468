package io.bilberryvalve.cli;

import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberryvalve.model.Address;

/**
 * Asks each given entry about itself. An entry that does not answer is reported, and the
 * others are asked nevertheless.
 */
final class EachEntry {

	private EachEntry() {
	}

	static ExitCode run(Console console, EntryClient client, String path, Consumer<JsonNode> print) {
		ExitCode code = ExitCode.OK;
		for (Address entry : client.entries()) {
			try {
				print.accept(client.only(entry).fetch(path).json());
			}
			catch (CommandException ex) {
				console.err().println("error: " + ex.getMessage());
				code = ex.exitCode();
			}
		}
		return code;
	}

}
