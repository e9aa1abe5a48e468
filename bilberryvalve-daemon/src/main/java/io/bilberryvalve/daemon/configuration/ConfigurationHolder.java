package io.bilberryvalve.daemon.configuration;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import io.bilberryvalve.config.FederationConfiguration;

/**
 * Holds the configuration in force and replaces it only by a higher version.
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
	 * Puts a configuration in force if its version is higher than the current one.
	 * @param next the configuration
	 * @return whether it was put in force
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
