package io.bilberryvalve.cli;

import java.util.Map;

/**
 * Starts the graceful shutdown of one entry.
 */
public final class DrainCommand extends EntryOptions {

	@Override
	public String summary() {
		return "drain: lets one entry finish its requests and exit; give exactly one --entry";
	}

	// A drain must not move on to another entry, which would then leave instead.
	@Override
	public ExitCode run(Console console) {
		EntryClient client = client(console);
		if (client.entries().size() != 1) {
			throw new CommandException(ExitCode.USAGE, "drain got " + client.entries().size()
					+ " entries; give the one entry that is to leave with --entry");
		}
		Answer.Received answer = EntryClient.received(client.send("POST", "/v1/drain", "{}", Map.of()));
		if (!answer.succeeded()) {
			throw answer.failure();
		}
		console.out().println(this.json ? answer.json() : "entry " + answer.entry() + " is leaving");
		return ExitCode.OK;
	}

}
