package io.bilberryvalve.daemon.configuration;

import java.util.function.Consumer;

import io.bilberryvalve.config.FederationConfiguration;

/**
 * Gives the configuration in force. Reads are a single volatile read and may happen on
 * the path of a request.
 */
public interface ConfigurationSource {

	/**
	 * Returns the configuration in force.
	 * @return the configuration; its version never falls between two calls
	 */
	FederationConfiguration current();

	/**
	 * Adds a listener that is called with the current configuration and after each
	 * change. Calls are not concurrent and versions rise.
	 * @param listener the listener
	 */
	void addListener(Consumer<FederationConfiguration> listener);

}
