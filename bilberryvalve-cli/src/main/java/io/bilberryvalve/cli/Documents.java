package io.bilberryvalve.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.bilberryvalve.config.ConfigurationDocument;
import io.bilberryvalve.config.Finding;
import io.bilberryvalve.config.Parsed;

/**
 * Reads documents from files and prints findings.
 */
final class Documents {

	private Documents() {
	}

	/**
	 * Reads a document.
	 * @param file the file
	 * @return the document or its errors
	 * @throws CommandException if the file cannot be read
	 */
	static Parsed<ConfigurationDocument> parse(Path file) {
		try {
			return ConfigurationDocument.parse(file.toString(), Files.readString(file));
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.NO_INPUT,
					"file " + file + " cannot be read as UTF-8 text; name a readable document");
		}
	}

	/**
	 * Reads a document that has to be valid.
	 * @param file the file
	 * @return the document
	 * @throws CommandException if the file cannot be read or has errors
	 */
	static ConfigurationDocument read(Path file) {
		Parsed<ConfigurationDocument> parsed = parse(file);
		if (parsed instanceof Parsed.Valid<ConfigurationDocument> valid) {
			return valid.value();
		}
		throw invalid(parsed.findings());
	}

	/**
	 * Returns an error that lists findings.
	 * @param findings the findings
	 * @return the error
	 */
	static CommandException invalid(Iterable<Finding> findings) {
		StringBuilder text = new StringBuilder("the configuration is not valid");
		findings.forEach((finding) -> text.append(System.lineSeparator()).append(finding));
		return new CommandException(ExitCode.INVALID, text.toString());
	}

	static ArrayNode json(Iterable<Finding> findings) {
		ArrayNode nodes = JsonNodeFactory.instance.arrayNode();
		for (Finding finding : findings) {
			var node = nodes.addObject().put("source", finding.source()).put("path", finding.path());
			if (finding.position() != null) {
				node.put("line", finding.position().line()).put("column", finding.position().column());
			}
			node.put("message", finding.message()).put("remedy", finding.remedy());
		}
		return nodes;
	}

}
