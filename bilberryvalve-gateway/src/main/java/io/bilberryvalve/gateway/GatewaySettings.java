package io.bilberryvalve.gateway;

import java.time.Duration;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;

/**
 * Settings of a gateway.
 *
 * @param vm name of the VM
 * @param dataCentre where it stands
 * @param callers where callers connect
 * @param state where other daemons send their state
 * @param threads number of event loops
 * @param retryFraction repeated requests as a fraction of all
 * @param retryFloor repeated requests that each daemon may send in any case
 * @param retryWindow time in which repeated requests are counted
 * @param runnerHeartbeat interval at which runners renew their entries
 */
public record GatewaySettings(String vm, DataCentreId dataCentre, Address callers, Address state, int threads,
		double retryFraction, int retryFloor, Duration retryWindow, Duration runnerHeartbeat) {

}
