package io.bilberryvalve.daemon.peer;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;

/**
 * Another daemon as this daemon sees it.
 *
 * @param vm its VM
 * @param incarnation its incarnation
 * @param dataCentre its data centre
 * @param callerAddress address for callers
 * @param state its state
 */
public record Peer(VmId vm, long incarnation, DataCentreId dataCentre, Address callerAddress, State state) {

	/**
	 * State of a peer.
	 */
	public enum State {

		/** Heartbeats arrive. */
		LIVE,

		/** Heartbeats are overdue. */
		SUSPECT,

		/** The peer is leaving and gets no new work. */
		LEAVING,

		/** The peer has not been heard for the absence bound. */
		ABSENT

	}

}
