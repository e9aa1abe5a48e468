package io.bilberryvalve.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberryvalve.config.CheckReport;
import io.bilberryvalve.config.ConfigurationCheck;
import io.bilberryvalve.config.ConfigurationDiff;
import io.bilberryvalve.config.ConfigurationDocument;
import io.bilberryvalve.config.ConfigurationPart;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.Parsed;
import org.jspecify.annotations.Nullable;

/**
 * The configuration that an entry reports.
 *
 * @param version its version, 0 before the first submission
 * @param digest its digest
 * @param documents its parts
 */
record ConfigurationInForce(long version, String digest, List<ConfigurationDocument> documents) {

	/**
	 * Asks an entry.
	 * @param client the client
	 * @return the configuration
	 * @throws CommandException if there is no answer, or it is an error or malformed
	 */
	static ConfigurationInForce fetch(EntryClient client) {
		Answer.Received answer = client.fetch("/v1/configuration");
		JsonNode node = answer.json();
		if (!node.path("version").isIntegralNumber() || !node.path("parts").isObject()) {
			throw new CommandException(ExitCode.UNREACHABLE,
					answer.entry() + " answered without version and parts; check that it is an entry");
		}
		List<ConfigurationDocument> documents = new ArrayList<>();
		for (Map.Entry<String, JsonNode> part : node.path("parts").properties()) {
			documents.add(document(answer, part.getKey(), part.getValue().asText()));
		}
		return new ConfigurationInForce(node.path("version").asLong(), node.path("digest").asText(), documents);
	}

	private static ConfigurationDocument document(Answer.Received answer, String part, String text) {
		Parsed<ConfigurationDocument> parsed = ConfigurationDocument.parse(part, text);
		if (parsed instanceof Parsed.Valid<ConfigurationDocument> valid) {
			return valid.value();
		}
		throw new CommandException(ExitCode.REFUSED, "this command cannot read part " + part + " of " + answer.entry()
				+ " (" + parsed.findings().get(0) + "); use the command of the version that the entries run");
	}

	@Nullable ConfigurationDocument document(String part) {
		return this.documents.stream()
			.filter((document) -> document.part().name().equals(part))
			.findFirst()
			.orElse(null);
	}

	/**
	 * Compares a document with the part in force.
	 * @param document the document
	 * @return the differences
	 */
	ConfigurationDiff diff(ConfigurationDocument document) {
		ConfigurationDocument before = document(document.part().name());
		return ConfigurationDiff.between((before != null) ? before.part() : null, document.part());
	}

	/**
	 * Compares this configuration with a later one.
	 * @param later the later configuration
	 * @return the differences of each part that differs; parts are never removed
	 */
	List<ConfigurationDiff> changes(ConfigurationInForce later) {
		return later.documents.stream().map(this::diff).filter((diff) -> !diff.isEmpty()).toList();
	}

	/**
	 * Checks this configuration with some parts replaced.
	 * @param replacements the new parts
	 * @return the report
	 */
	CheckReport checkWith(List<ConfigurationDocument> replacements) {
		List<ConfigurationDocument> all = new ArrayList<>(this.documents);
		all.removeIf((old) -> replacements.stream().anyMatch((next) -> next.part().name().equals(old.part().name())));
		all.addAll(replacements);
		return check(all);
	}

	/**
	 * Checks parts against each other.
	 * @param documents the parts
	 * @return the report
	 */
	static CheckReport check(List<ConfigurationDocument> documents) {
		FederationConfiguration configuration = FederationConfiguration.empty();
		for (ConfigurationDocument document : documents) {
			configuration = configuration.with(0, document.part());
		}
		return ConfigurationCheck.check(configuration, documents);
	}

	static boolean isFederation(ConfigurationDocument document) {
		return document.part().name().equals(ConfigurationPart.FEDERATION);
	}

}
