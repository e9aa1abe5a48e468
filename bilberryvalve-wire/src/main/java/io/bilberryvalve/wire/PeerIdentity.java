package io.bilberryvalve.wire;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;

/**
 * What a daemon states about itself at the start of a connection.
 *
 * @param vm its VM
 * @param incarnation its incarnation, higher for each later start of a daemon on the VM
 * @param dataCentre its data centre
 * @param callerAddress its address for callers
 * @param peerAddress its address for other daemons
 */
public record PeerIdentity(VmId vm, long incarnation, DataCentreId dataCentre, Address callerAddress,
		Address peerAddress) {

}
