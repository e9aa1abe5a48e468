package io.bilberryvalve.wire;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;

/**
 * Identity that a daemon claims and proves at the start of a connection.
 *
 * @param vm VM on which the daemon runs
 * @param incarnation number of the daemon's run, higher for each later start on the VM
 * @param dataCentre data centre of the VM
 * @param callerAddress address at which the daemon accepts requests of callers
 * @param peerAddress address at which the daemon accepts connections of other daemons
 */
public record PeerIdentity(VmId vm, long incarnation, DataCentreId dataCentre, Address callerAddress,
		Address peerAddress) {

}
