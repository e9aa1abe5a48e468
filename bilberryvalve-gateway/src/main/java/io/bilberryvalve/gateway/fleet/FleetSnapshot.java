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
 * Immutable snapshot of the known runners.
 */
public final class FleetSnapshot {

	/** Snapshot without runners. */
	public static final FleetSnapshot EMPTY = new FleetSnapshot(List.of());

	private final Map<RunnerId, ListedRunner> runners = new HashMap<>();

	private final Map<String, List<ListedRunner>> byService = new HashMap<>();

	private final Map<Address, ListedRunner> byAddress = new HashMap<>();

	/**
	 * Creates a snapshot.
	 * @param runners entries of all runners, which are copied
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
	 * @return entries of all runners, including those that are leaving
	 */
	public Collection<ListedRunner> all() {
		return this.runners.values();
	}

	/**
	 * Returns the runners of a service.
	 * @param service name of the service
	 * @return entries of its runners, including those that are leaving; empty if there
	 * are none
	 */
	public List<ListedRunner> ofService(String service) {
		return this.byService.getOrDefault(service, List.of());
	}

	/**
	 * Finds a runner by its identifier.
	 * @param id identifier of the runner
	 * @return its entry, or empty if it is not known
	 */
	public Optional<ListedRunner> find(RunnerId id) {
		return Optional.ofNullable(this.runners.get(id));
	}

	/**
	 * Finds a runner by its address.
	 * @param address address at which it listens
	 * @return its entry, or empty if no known runner listens there
	 */
	public Optional<ListedRunner> findByAddress(Address address) {
		return Optional.ofNullable(this.byAddress.get(address));
	}

}
