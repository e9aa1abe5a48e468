package io.bilberryvalve.daemon.peer;

import java.util.List;

import io.bilberryvalve.model.Address;

/**
 * Addresses at which other daemons may be found: seeds of the settings and the platform's
 * list of VMs. The list is only a hint; it may lag and may contain this daemon itself.
 */
@FunctionalInterface
public interface PeerDirectory {

	/**
	 * Returns the addresses. Called every few hundred milliseconds; it must not block.
	 * @return addresses for other daemons
	 */
	List<Address> addresses();

}
