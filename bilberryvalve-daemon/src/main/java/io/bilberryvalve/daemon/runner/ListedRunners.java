package io.bilberryvalve.daemon.runner;

import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Finds the runners whose VMs the platform's list names as leaving. The list may be
 * earlier than the load report of the runner.
 */
public final class ListedRunners implements RunnerFleet.LeavingRunners {

	private final AtomicReference<Map<RunnerId, Address>> addresses = new AtomicReference<>(Map.of());

	private final Predicate<Address> leaving;

	/**
	 * Creates the runners of a configuration.
	 * @param configuration gives the addresses of the runners
	 * @param leaving tells whether the VM at an address is leaving
	 */
	public ListedRunners(ConfigurationSource configuration, Predicate<Address> leaving) {
		this.leaving = leaving;
		configuration.addListener((next) -> this.addresses.set(next.federation()
			.runners()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Runner::id, Runner::address))));
	}

	@Override
	public boolean leaving(RunnerId runner) {
		@Nullable Address address = this.addresses.get().get(runner);
		return address != null && this.leaving.test(address);
	}

}
