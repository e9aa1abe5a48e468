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
 * Peer directory that combines the seed addresses in the settings with the platform's
 * list of VMs. While the list cannot be read, the last successful answer stays in use.
 */
public final class VmDirectory implements PeerDirectory {

	private final List<Address> seeds;

	private final VmList list;

	private volatile List<VmList.Vm> known = List.of();

	private volatile Set<Address> leaving = Set.of();

	/**
	 * Creates a directory that contains only the seeds until the first
	 * {@link #refresh()}.
	 * @param seeds peer addresses in the settings
	 * @param list list of VMs that the platform serves
	 */
	public VmDirectory(List<Address> seeds, VmList list) {
		this.seeds = List.copyOf(seeds);
		this.list = list;
	}

	/**
	 * Starts to read the list of VMs again and returns without waiting. Called at
	 * intervals; a failed read leaves the directory unchanged.
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
	 * Returns whether the last list marks the VM at an address as leaving. Such a VM gets
	 * no new work.
	 * @param address address of a runner or an entry
	 * @return whether the VM is leaving; false if the list does not contain the address
	 */
	public boolean isLeaving(Address address) {
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
