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
 * Considers a runner to be leaving if the VM list of the platform marks its VM as
 * leaving. The list may show this before the runner's own load report does.
 */
public final class VmListLeavingRunners implements RunnerFleet.LeavingRunners {

	private final AtomicReference<Map<RunnerId, Address>> addresses = new AtomicReference<>(Map.of());

	private final Predicate<Address> leaving;

	/**
	 * Creates the lookup and follows changes of the configuration.
	 * @param configuration source of the addresses of the runners
	 * @param leaving tells whether the VM at an address is leaving
	 */
	public VmListLeavingRunners(ConfigurationSource configuration, Predicate<Address> leaving) {
		this.leaving = leaving;
		configuration.addListener((next) -> this.addresses.set(next.federation()
			.runners()
			.stream()
			.collect(Collectors.toUnmodifiableMap(Runner::id, Runner::address))));
	}

	@Override
	public boolean isLeaving(RunnerId runner) {
		@Nullable Address address = this.addresses.get().get(runner);
		return address != null && this.leaving.test(address);
	}

}
