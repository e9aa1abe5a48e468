package io.bilberryvalve.daemon.peer;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.VmList;

/**
 * Finds other daemons by the seeds of the settings and the last known list of VMs. During
 * an outage of the list the last answer stays in use.
 */
public final class VmDirectory implements PeerDirectory {

	private final List<Address> seeds;

	private final VmList list;

	private volatile List<VmList.Vm> known = List.of();

	private volatile Set<Address> leaving = Set.of();

	/**
	 * Creates a directory that knows the seeds only.
	 * @param seeds peer addresses of the settings
	 * @param list the list of VMs
	 */
	public VmDirectory(List<Address> seeds, VmList list) {
		this.seeds = List.copyOf(seeds);
		this.list = list;
	}

	/**
	 * Reads the list. Called at intervals.
	 */
	public void refresh() {
		this.list.read().thenAccept((fetched) -> {
			if (fetched instanceof ReadResult.Found<List<VmList.Vm>> found) {
				this.known = List.copyOf(found.value());
				this.leaving = found.value()
					.stream()
					.filter(VmList.Vm::leaving)
					.map(VmList.Vm::address)
					.collect(Collectors.toUnmodifiableSet());
			}
		});
	}

	/**
	 * Tells whether the list names the VM at an address as leaving.
	 * @param address address of a runner or an entry
	 * @return whether it gets no new work
	 */
	public boolean leaving(Address address) {
		return this.leaving.contains(address);
	}

	@Override
	public List<Address> addresses() {
		Set<Address> addresses = new LinkedHashSet<>(this.seeds);
		for (VmList.Vm vm : this.known) {
			if (!vm.leaving()) {
				addresses.add(vm.peerAddress());
			}
		}
		return new ArrayList<>(addresses);
	}

}
