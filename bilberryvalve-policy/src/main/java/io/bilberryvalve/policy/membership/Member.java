package io.bilberryvalve.policy.membership;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;

/**
 * One run of a daemon on a VM.
 *
 * @param vm the VM
 * @param incarnation the run; a later run on the same VM has a higher number
 * @param dataCentre data centre of the VM
 * @param callerAddress address for callers
 * @param peerAddress address for other daemons
 */
public record Member(VmId vm, long incarnation, DataCentreId dataCentre, Address callerAddress, Address peerAddress) {

}
