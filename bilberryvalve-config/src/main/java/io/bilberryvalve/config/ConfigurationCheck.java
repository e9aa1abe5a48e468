package io.bilberryvalve.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the references between all parts of a configuration. The checks:
 * <ul>
 * <li>shares sum to at most 100 percent, and every club with a part has a share;</li>
 * <li>identifiers are unique, as are key digests and applications across clubs;</li>
 * <li>callers name teams; pipelines and applications name callers; runners and links name
 * data centres; runners name accelerator kinds, models and adapters;</li>
 * <li>layer ranges lie within the model;</li>
 * <li>pipelines name models and adapters that exist, and for each model and adapter that
 * a pipeline uses, runners hold every layer; every declared application has a
 * runner.</li>
 * </ul>
 */
public final class ConfigurationCheck {

	private ConfigurationCheck() {
	}

	/**
	 * Checks a configuration.
	 * @param configuration the configuration
	 * @return the report; its findings have no places
	 */
	public static CheckReport check(FederationConfiguration configuration) {
		return check(configuration, List.of());
	}

	/**
	 * Checks a configuration whose parts were read from documents.
	 * @param configuration the configuration
	 * @param documents documents of some or all of its parts; they give places to the
	 * findings
	 * @return the report
	 */
	public static CheckReport check(FederationConfiguration configuration,
			Collection<ConfigurationDocument> documents) {
		Map<String, ConfigurationDocument> byPart = new HashMap<>();
		documents.forEach((document) -> byPart.put(document.part().name(), document));
		List<Finding> findings = new ArrayList<>();
		FederationPart federation = configuration.federation();
		new FederationChecks(federation, report(federation, byPart, findings)).run();
		KeyOwners keys = new KeyOwners();
		Coverage coverage = new Coverage(federation.runners());
		for (ClubPart club : configuration.clubs().values()) {
			new ClubChecks(federation, club, keys, coverage, report(club, byPart, findings)).run();
		}
		return new CheckReport(findings);
	}

	private static PartReport report(ConfigurationPart part, Map<String, ConfigurationDocument> documents,
			List<Finding> findings) {
		return new PartReport(part.name(), documents.get(part.name()), findings);
	}

}
