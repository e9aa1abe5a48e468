package io.bilberryvalve.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import io.bilberryvalve.config.CheckReport;
import io.bilberryvalve.config.ConfigurationDiff;
import io.bilberryvalve.config.ConfigurationDocument;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Submits a part of the configuration.
 */
public final class SubmitCommand extends EntryOptions {

	private static final long NO_BASE = -1;

	@Argument(metaVar = "FILE", required = true, usage = "the document of one part")
	@Nullable Path file;

	@Option(name = "--base", metaVar = "VERSION",
			usage = "version on which the document is based; refused if another one is in force "
					+ "(default: the version in force)")
	long base = NO_BASE;

	@Option(name = "--submission", metaVar = "ID",
			usage = "id of an earlier submission whose answer was lost; it is accepted at most once (default: a new id)")
	@Nullable String submission;

	@Override
	public String summary() {
		return "submit FILE: submits a part of the configuration";
	}

	@Override
	public ExitCode run(Console console) {
		if (this.file == null) {
			throw new CommandException(ExitCode.USAGE, "no document is given; name a file");
		}
		ConfigurationDocument document = Documents.read(this.file);
		EntryClient client = client(console);
		ConfigurationInForce inForce = ConfigurationInForce.fetch(client);
		CheckReport report = inForce.checkWith(List.of(document));
		if (!report.accepted()) {
			throw Documents.invalid(report.findings());
		}
		ConfigurationDiff diff = inForce.diff(document);
		if (diff.isEmpty() && inForce.document(document.part().name()) != null) {
			return unchanged(console, inForce);
		}
		diff.lines().forEach(console.err()::println);
		Submission sent = new Submission((this.submission != null) ? this.submission : UUID.randomUUID().toString(),
				(this.base != NO_BASE) ? this.base : inForce.version(), document);
		Answer.Received answer = sent.send(client, console.pause());
		if (answer.isProblem("conflict")) {
			return conflict(console, client, inForce, answer);
		}
		if (!answer.succeeded()) {
			throw answer.failure();
		}
		return accepted(console, sent, answer.json());
	}

	private ExitCode unchanged(Console console, ConfigurationInForce inForce) {
		if (this.json) {
			console.out().println(result(true, inForce.version()).put("changed", false));
		}
		else {
			console.out().println("nothing to submit: the part in version " + inForce.version() + " is the same");
		}
		return ExitCode.OK;
	}

	private ExitCode accepted(Console console, Submission sent, JsonNode answer) {
		long version = answer.path("version").asLong(sent.base() + 1);
		if (this.json) {
			console.out().println(result(true, version).put("changed", true).put("submission", sent.id()));
		}
		else {
			console.out().println("accepted as version " + version);
		}
		return ExitCode.OK;
	}

	private ExitCode conflict(Console console, EntryClient client, ConfigurationInForce before,
			Answer.Received answer) {
		ConfigurationInForce now = ConfigurationInForce.fetch(client);
		List<ConfigurationDiff> changes = before.changes(now);
		String command = "bilberryvalve submit " + this.file + " --base " + now.version();
		if (this.json) {
			ObjectNode node = result(false, now.version()).put("detail", answer.json().path("detail").asText());
			var list = node.putArray("changes");
			changes.forEach((change) -> list.addRawValue(new RawValue(change.json())));
			console.out().println(node);
			return ExitCode.CONFLICT;
		}
		console.err().println("error: conflict: " + answer.json().path("detail").asText("another version is in force"));
		for (ConfigurationDiff change : changes) {
			console.err().println("changed since version " + before.version() + " in part " + change.part() + ":");
			change.lines().forEach((line) -> console.err().println("  " + line));
		}
		console.err().println("merge the changes into " + this.file + ", then resubmit: " + command);
		return ExitCode.CONFLICT;
	}

	private static ObjectNode result(boolean accepted, long version) {
		return JsonNodeFactory.instance.objectNode().put("accepted", accepted).put("version", version);
	}

}
