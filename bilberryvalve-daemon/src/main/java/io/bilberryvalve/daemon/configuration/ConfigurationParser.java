package io.bilberryvalve.daemon.configuration;

import java.util.List;
import java.util.Map;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.model.Result;

/**
 * Parses and checks the texts of the parts of a configuration.
 */
public interface ConfigurationParser {

	/** Name of the part that is common to all clubs. */
	String FEDERATION = "federation";

	/**
	 * Parses a configuration that was accepted before, without checking the invariants
	 * across its parts again.
	 * @param version its version
	 * @param texts texts by the name of their part
	 * @return the configuration, or a problem with kind {@code INVALID_CONFIGURATION}
	 */
	Result<FederationConfiguration> parse(long version, Map<String, String> texts);

	/**
	 * Parses a configuration before it is accepted and checks the invariants across its
	 * parts.
	 * @param version version that it gets if it is accepted
	 * @param texts texts by the name of their part
	 * @return the configuration, or a problem with kind {@code INVALID_CONFIGURATION}
	 * whose detail lists all findings
	 */
	Result<FederationConfiguration> check(long version, Map<String, String> texts);

	/**
	 * Describes the differences between two configurations.
	 * @param before texts of the old configuration by the name of their part
	 * @param after texts of the new configuration by the name of their part
	 * @return one line for each difference; a part whose new text cannot be parsed is
	 * left out
	 */
	List<String> differences(Map<String, String> before, Map<String, String> after);

}
