package io.bilberryvalve.gateway;

import java.time.Duration;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;

/**
 * Settings of a gateway.
 *
 * @param vm name of the VM
 * @param dataCentre where it stands
 * @param callerAddress where callers connect
 * @param stateAddress where other daemons send their state
 * @param eventLoopThreads number of event loops
 * @param retryRatio repeated requests that all daemons may send as a fraction of all
 * requests
 * @param retrySlack repeated requests that they may send in addition
 * @param retryWindow time for which both hold
 * @param runnerHeartbeat interval at which runners renew their entries
 */
public record GatewaySettings(String vm, DataCentreId dataCentre, Address callerAddress, Address stateAddress,
		int eventLoopThreads, double retryRatio, int retrySlack, Duration retryWindow, Duration runnerHeartbeat) {

}
