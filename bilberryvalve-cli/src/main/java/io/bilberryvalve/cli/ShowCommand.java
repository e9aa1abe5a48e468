package io.bilberryvalve.cli;

import io.bilberryvalve.config.ConfigurationDocument;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;

/**
 * Prints the configuration in force.
 */
public final class ShowCommand extends EntryOptions {

	@Argument(metaVar = "PART", usage = "federation or a club; without it, all parts are listed with their digests")
	@Nullable String part;

	@Override
	public String summary() {
		return "show [PART]: prints the configuration in force, or the document of one part";
	}

	@Override
	public ExitCode run(Console console) {
		EntryClient client = client(console);
		if (this.json && this.part == null) {
			console.out().println(client.fetch("/v1/configuration").json());
			return ExitCode.OK;
		}
		ConfigurationInForce inForce = ConfigurationInForce.fetch(client);
		if (this.part == null) {
			console.out().println("version " + inForce.version() + ", digest " + inForce.digest());
			inForce.documents().forEach((each) -> console.out().println(each.part().name() + " " + each.digest()));
			return ExitCode.OK;
		}
		ConfigurationDocument document = inForce.document(this.part);
		if (document == null) {
			throw new CommandException(ExitCode.REFUSED, "version " + inForce.version() + " has no part " + this.part
					+ "; run show without a part to list them");
		}
		console.out().print(document.canonicalText());
		return ExitCode.OK;
	}

}
