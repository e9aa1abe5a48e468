package io.bilberryvalve.gateway.peer;

import java.util.Set;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;

/**
 * Last state received from another daemon.
 *
 * @param vm name of its VM
 * @param incarnation number of its start; a later start has a higher number
 * @param sequence number of the message, counted from its start
 * @param dataCentre data centre of its VM
 * @param callerAddress address on which callers connect
 * @param stateAddress address on which it receives states
 * @param serving whether callers should use it
 * @param leaving whether it is stopping
 * @param storeReachable whether it can reach the store
 * @param configurationVersion version of its configuration, 0 for none
 * @param lostRunners runners that it found dead or unreachable
 * @param changingRunners runners that it ordered to give up layers
 * @param capacity processor capacity of its VM in cores, 0 if unknown
 * @param receivedMillis arrival time of the last message in milliseconds, by the
 * monotonic clock of this daemon; of a daemon that a delegate reported, the time at which
 * its state arrived at the delegate that received it directly
 */
public record PeerState(String vm, long incarnation, long sequence, DataCentreId dataCentre, Address callerAddress,
		Address stateAddress, boolean serving, boolean leaving, boolean storeReachable, long configurationVersion,
		Set<RunnerId> lostRunners, Set<RunnerId> changingRunners, double capacity, long receivedMillis) {

	/**
	 * Returns the same state after a later message of the daemon.
	 * @param laterSequence number of the message
	 * @param now arrival time of the message in milliseconds
	 * @return a new state
	 */
	PeerState heardAgain(long laterSequence, long now) {
		return new PeerState(this.vm, this.incarnation, laterSequence, this.dataCentre, this.callerAddress,
				this.stateAddress, this.serving, this.leaving, this.storeReachable, this.configurationVersion,
				this.lostRunners, this.changingRunners, this.capacity, now);
	}

}
