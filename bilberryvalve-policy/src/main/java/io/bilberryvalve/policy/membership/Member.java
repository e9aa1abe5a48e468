package io.bilberryvalve.policy.membership;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;

/**
 * A member of the federation: one run of a daemon on a VM.
 *
 * @param vm the VM on which the daemon runs
 * @param incarnation number of the run; a later run on the same VM has a higher number
 * @param dataCentre data centre of the VM
 * @param callerAddress address at which callers reach the daemon
 * @param peerAddress address at which other daemons reach it
 */
public record Member(VmId vm, long incarnation, DataCentreId dataCentre, Address callerAddress, Address peerAddress) {

}
