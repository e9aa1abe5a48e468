package io.bilberryvalve.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.config.ConfigurationDocument;
import io.bilberryvalve.config.Finding;
import io.bilberryvalve.config.Parsed;
import org.kohsuke.args4j.Argument;

/**
 * Checks documents.
 */
public final class CheckCommand extends EntryOptions {

	@Argument(metaVar = "FILE", required = true, multiValued = true, usage = "documents to check")
	List<Path> files = new ArrayList<>();

	@Override
	public String summary() {
		return "check FILE...: checks documents; with --entry, together with the parts in force";
	}

	@Override
	public ExitCode run(Console console) {
		List<Finding> findings = new ArrayList<>();
		List<ConfigurationDocument> documents = new ArrayList<>();
		for (Path file : this.files) {
			Parsed<ConfigurationDocument> parsed = Documents.parse(file);
			findings.addAll(parsed.findings());
			if (parsed instanceof Parsed.Valid<ConfigurationDocument> valid) {
				documents.add(valid.value());
			}
		}
		boolean references = findings.isEmpty() && checkReferences(console, documents, findings);
		print(console, findings, references);
		return findings.isEmpty() ? ExitCode.OK : ExitCode.INVALID;
	}

	// Without the federation part, every reference of a club would seem to be broken.
	private boolean checkReferences(Console console, List<ConfigurationDocument> documents, List<Finding> findings) {
		if (!addresses(console).isEmpty()) {
			findings.addAll(ConfigurationInForce.fetch(client(console)).checkWith(documents).findings());
			return true;
		}
		if (documents.stream().noneMatch(ConfigurationInForce::isFederation)) {
			return false;
		}
		findings.addAll(ConfigurationInForce.check(documents).findings());
		return true;
	}

	private void print(Console console, List<Finding> findings, boolean references) {
		if (this.json) {
			ObjectNode node = JsonNodeFactory.instance.objectNode();
			node.put("valid", findings.isEmpty()).put("referencesChecked", references);
			node.set("findings", Documents.json(findings));
			console.out().println(node);
			return;
		}
		findings.forEach(console.err()::println);
		if (findings.isEmpty()) {
			console.out()
				.println(references ? "valid"
						: "valid; references to other parts were not checked: add the federation part or --entry");
		}
	}

}
