package io.bilberryvalve.daemon.configuration;

import java.util.function.Consumer;

import io.bilberryvalve.config.FederationConfiguration;

/**
 * Provides the active configuration. {@link #current()} costs a single volatile read, so
 * it may be called for each request.
 */
public interface ConfigurationSource {

	/**
	 * Returns the active configuration.
	 * @return the configuration; its version never decreases from one call to the next
	 */
	FederationConfiguration current();

	/**
	 * Adds a listener. It is called at once with the active configuration and again with
	 * each new one. Calls are not concurrent, and the versions increase.
	 * @param listener the listener
	 */
	void addListener(Consumer<FederationConfiguration> listener);

}
