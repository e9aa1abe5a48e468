package io.bilberryvalve.gateway.peer;

import java.util.Set;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;

/**
 * What another daemon said of itself last.
 *
 * @param vm its name
 * @param incarnation its start
 * @param sequence number of the message
 * @param dataCentre where it stands
 * @param callerAddress where callers connect
 * @param stateAddress where it receives states
 * @param serving whether callers should use it
 * @param leaving whether it is stopping
 * @param storeReachable whether it reaches the store
 * @param configurationVersion version of its configuration
 * @param lostRunners runners that it found dead or cut off
 * @param changingRunners runners that it ordered to give up layers
 * @param receivedMillis when the message arrived
 */
public record PeerState(String vm, long incarnation, long sequence, DataCentreId dataCentre, Address callerAddress,
		Address stateAddress, boolean serving, boolean leaving, boolean storeReachable, long configurationVersion,
		Set<RunnerId> lostRunners, Set<RunnerId> changingRunners, long receivedMillis) {

}
