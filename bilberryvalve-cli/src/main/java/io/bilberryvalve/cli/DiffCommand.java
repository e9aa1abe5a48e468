package io.bilberryvalve.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.config.ConfigurationDiff;
import io.bilberryvalve.config.ConfigurationDocument;
import org.kohsuke.args4j.Argument;

/**
 * Compares two documents, or a document with the part in force.
 */
public final class DiffCommand extends EntryOptions {

	@Argument(metaVar = "FILE", required = true, multiValued = true,
			usage = "the earlier and the later document, or one document to compare with the part in force")
	List<Path> files = new ArrayList<>();

	@Override
	public String summary() {
		return "diff [FILE] FILE: compares two documents, or a document with the part in force at --entry";
	}

	@Override
	public ExitCode run(Console console) {
		ConfigurationDiff diff = diff(console);
		if (this.json) {
			console.out().println(diff.json());
		}
		else {
			diff.lines().forEach(console.out()::println);
		}
		return diff.isEmpty() ? ExitCode.OK : ExitCode.DIFFERENT;
	}

	private ConfigurationDiff diff(Console console) {
		if (this.files.size() > 2) {
			throw new CommandException(ExitCode.USAGE, "got " + this.files.size() + " documents; give one or two");
		}
		ConfigurationDocument first = Documents.read(this.files.get(0));
		if (this.files.size() == 1) {
			return ConfigurationInForce.fetch(client(console)).diff(first);
		}
		ConfigurationDocument second = Documents.read(this.files.get(1));
		try {
			return ConfigurationDiff.between(first.part(), second.part());
		}
		catch (IllegalArgumentException ex) {
			throw new CommandException(ExitCode.USAGE, ex.getMessage());
		}
	}

}
