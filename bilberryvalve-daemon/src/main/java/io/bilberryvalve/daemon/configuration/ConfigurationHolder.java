package io.bilberryvalve.daemon.configuration;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.bilberryvalve.config.FederationConfiguration;

/**
 * Holds the active configuration, replaces it only by a higher version and notifies
 * listeners of each replacement. Safe for use by several threads.
 */
public final class ConfigurationHolder implements ConfigurationSource {

	private final AtomicReference<FederationConfiguration> current = new AtomicReference<>(
			FederationConfiguration.empty());

	private final List<Consumer<FederationConfiguration>> listeners = new CopyOnWriteArrayList<>();

	@Override
	public FederationConfiguration current() {
		return this.current.get();
	}

	@Override
	public synchronized void addListener(Consumer<FederationConfiguration> listener) {
		this.listeners.add(listener);
		listener.accept(this.current.get());
	}

	/**
	 * Replaces the active configuration if the given one has a higher version.
	 * @param next the configuration
	 * @return whether the active configuration was replaced
	 */
	public synchronized boolean setIfNewer(FederationConfiguration next) {
		if (next.version() <= this.current.get().version()) {
			return false;
		}
		this.current.set(next);
		this.listeners.forEach((listener) -> listener.accept(next));
		return true;
	}

}
