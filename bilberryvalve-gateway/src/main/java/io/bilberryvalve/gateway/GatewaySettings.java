package io.bilberryvalve.gateway;

import java.time.Duration;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;

/**
 * Settings of a gateway.
 *
 * @param vm name of the VM
 * @param dataCentre data centre of the VM
 * @param callerAddress address on which callers connect
 * @param stateAddress address to which other daemons send their states
 * @param eventLoopThreads number of event loops
 * @param retryRatio retries that all daemons together may send, as a fraction of all
 * requests
 * @param retrySlack retries that all daemons together may send in addition
 * @param retryWindow time window for which both limits hold
 * @param runnerHeartbeat interval at which runners renew their entries in the list of
 * runners
 * @param capacity processor capacity of the VM in cores, 0 if unknown
 */
public record GatewaySettings(String vm, DataCentreId dataCentre, Address callerAddress, Address stateAddress,
		int eventLoopThreads, double retryRatio, int retrySlack, Duration retryWindow, Duration runnerHeartbeat,
		double capacity) {

}
