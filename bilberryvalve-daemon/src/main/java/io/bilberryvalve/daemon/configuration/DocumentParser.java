package io.bilberryvalve.daemon.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.bilberryvalve.config.CheckReport;
import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.ConfigurationCheck;
import io.bilberryvalve.config.ConfigurationDiff;
import io.bilberryvalve.config.ConfigurationDocument;
import io.bilberryvalve.config.ConfigurationPart;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.config.Finding;
import io.bilberryvalve.config.Parsed;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import org.jspecify.annotations.Nullable;

/**
 * Parses each part as a {@link ConfigurationDocument} and checks the configuration with
 * {@link ConfigurationCheck}.
 */
public final class DocumentParser implements ConfigurationParser {

	@Override
	public Result<FederationConfiguration> parse(long version, Map<String, String> texts) {
		return parseDocuments(texts).flatMap((documents) -> Result.ok(configuration(version, documents)));
	}

	@Override
	public Result<FederationConfiguration> check(long version, Map<String, String> texts) {
		return parseDocuments(texts).flatMap((documents) -> {
			FederationConfiguration configuration = configuration(version, documents);
			CheckReport report = ConfigurationCheck.check(configuration, documents);
			return report.accepted() ? Result.ok(configuration) : invalid(report.text());
		});
	}

	@Override
	public List<String> differences(Map<String, String> before, Map<String, String> after) {
		List<String> lines = new ArrayList<>();
		after.forEach((name, text) -> {
			String earlier = before.get(name);
			ConfigurationPart next = parsePart(name, text);
			if (next != null && !text.equals(earlier)) {
				ConfigurationPart previous = (earlier != null) ? parsePart(name, earlier) : null;
				ConfigurationDiff.between(previous, next).lines().forEach((line) -> lines.add(name + ": " + line));
			}
		});
		return lines;
	}

	private static @Nullable ConfigurationPart parsePart(String name, String text) {
		Parsed<ConfigurationDocument> parsed = ConfigurationDocument.parse(name, text);
		return (parsed instanceof Parsed.Valid<ConfigurationDocument> valid) ? valid.value().part() : null;
	}

	private static Result<Collection<ConfigurationDocument>> parseDocuments(Map<String, String> texts) {
		List<ConfigurationDocument> documents = new ArrayList<>();
		List<String> findings = new ArrayList<>();
		texts.forEach((name, text) -> {
			Parsed<ConfigurationDocument> parsed = ConfigurationDocument.parse(name, text);
			parsed.findings().stream().map(Finding::toString).forEach(findings::add);
			if (parsed instanceof Parsed.Valid<ConfigurationDocument> valid) {
				documents.add(valid.value());
				checkName(name, valid.value(), findings);
			}
		});
		return findings.isEmpty() ? Result.ok(documents) : invalid(String.join("\n", findings));
	}

	private static void checkName(String name, ConfigurationDocument document, List<String> findings) {
		String actual = document.part().name();
		if (!actual.equals(name)) {
			findings.add(name + ": the document is part " + actual + "; submit it as part " + actual);
		}
	}

	private static FederationConfiguration configuration(long version, Collection<ConfigurationDocument> documents) {
		FederationPart federation = FederationPart.empty();
		Map<ClubId, ClubPart> clubs = new TreeMap<>();
		for (ConfigurationDocument document : documents) {
			if (document.part() instanceof FederationPart part) {
				federation = part;
			}
			else if (document.part() instanceof ClubPart part) {
				clubs.put(part.club(), part);
			}
		}
		return new FederationConfiguration(version, federation, clubs);
	}

	private static <T> Result<T> invalid(String findings) {
		return Result.failed(Problem.notRun(ProblemKind.INVALID_CONFIGURATION, findings,
				"correct the findings and submit the part again"));
	}

}
