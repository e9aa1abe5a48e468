package io.bilberryvalve.daemon.configuration;

import java.util.List;
import java.util.Map;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.model.Result;

/**
 * Parses and checks the parts of a configuration.
 */
public interface ConfigurationParser {

	/** Name of the part that all clubs share. */
	String FEDERATION = "federation";

	/**
	 * Parses an accepted configuration.
	 * @param version its version
	 * @param texts text of each part by its name
	 * @return the configuration, or a problem with kind {@code INVALID_CONFIGURATION}
	 */
	Result<FederationConfiguration> parse(long version, Map<String, String> texts);

	/**
	 * Parses a configuration before it is accepted and checks the invariants across its
	 * parts.
	 * @param version its version
	 * @param texts text of each part by its name
	 * @return the configuration, or a problem with kind {@code INVALID_CONFIGURATION}
	 * whose detail lists all findings
	 */
	Result<FederationConfiguration> check(long version, Map<String, String> texts);

	/**
	 * Describes the differences between two configurations.
	 * @param before text of each part by its name
	 * @param after text of each part by its name
	 * @return one line for each difference; parts that cannot be read are left out
	 */
	List<String> differences(Map<String, String> before, Map<String, String> after);

}
