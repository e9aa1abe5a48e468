package io.bilberryvalve.gateway.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;

/**
 * The runners known at a moment. Immutable.
 */
public final class FleetSnapshot {

	/** No runner. */
	public static final FleetSnapshot EMPTY = new FleetSnapshot(List.of());

	private final Map<RunnerId, ListedRunner> runners = new HashMap<>();

	private final Map<String, List<ListedRunner>> byService = new HashMap<>();

	private final Map<Address, ListedRunner> byAddress = new HashMap<>();

	/**
	 * Creates a fleet.
	 * @param runners the runners
	 */
	public FleetSnapshot(Collection<ListedRunner> runners) {
		for (ListedRunner runner : runners) {
			this.runners.put(runner.id(), runner);
			this.byAddress.put(runner.address(), runner);
			this.byService.computeIfAbsent(runner.service(), (name) -> new ArrayList<>()).add(runner);
		}
	}

	/**
	 * Returns all runners.
	 * @return the runners
	 */
	public Collection<ListedRunner> all() {
		return this.runners.values();
	}

	/**
	 * Returns the runners of a service.
	 * @param service name of the service
	 * @return the runners, also those that are leaving
	 */
	public List<ListedRunner> ofService(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Finds a runner.
	 * @param id the runner
	 * @return its entry, or empty
	 */
	public Optional<ListedRunner> find(RunnerId id) {
		return Optional.ofNullable(this.runners.get(id));
	}

	/**
	 * Finds the runner at an address.
	 * @param address the address
	 * @return its entry, or empty
	 */
	public Optional<ListedRunner> findByAddress(Address address) {
		return Optional.ofNullable(this.byAddress.get(address));
	}

}
