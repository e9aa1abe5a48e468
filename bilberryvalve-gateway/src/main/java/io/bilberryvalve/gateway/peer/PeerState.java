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
 * @param callers where callers connect
 * @param state where it receives states
 * @param serving whether callers should use it
 * @param leaving whether it is stopping
 * @param storeReachable whether it reaches the store
 * @param configuration version of its configuration
 * @param lost runners that it found dead or cut off
 * @param changing runners that it ordered to give up layers
 * @param heardMillis when the message arrived
 */
public record PeerState(String vm, long incarnation, long sequence, DataCentreId dataCentre, Address callers,
		Address state, boolean serving, boolean leaving, boolean storeReachable, long configuration, Set<RunnerId> lost,
		Set<RunnerId> changing, long heardMillis) {

}
