package io.bilberryvalve.daemon.peer;

import java.util.List;

import io.bilberryvalve.model.Address;

/**
 * Supplies addresses at which other daemons may be found, taken from the seed addresses
 * in the settings and from the platform's list of VMs. The addresses are only hints: they
 * may be out of date and may include this daemon itself.
 */
@FunctionalInterface
public interface PeerDirectory {

	/**
	 * Returns the addresses. Called in each round of the peer network, every 50 ms, so it
	 * must not block.
	 * @return peer addresses of daemons
	 */
	List<Address> addresses();

}
