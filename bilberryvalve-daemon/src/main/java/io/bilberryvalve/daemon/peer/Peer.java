package io.bilberryvalve.daemon.peer;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;

/**
 * Another daemon as this daemon sees it.
 *
 * @param vm VM on which the peer runs
 * @param incarnation number of the peer's run, higher for each later start on the VM
 * @param dataCentre data centre of the VM
 * @param callerAddress address at which the peer accepts requests of callers
 * @param state state of the peer, judged from its heartbeats and from reports of other
 * daemons
 */
public record Peer(VmId vm, long incarnation, DataCentreId dataCentre, Address callerAddress, State state) {

	/**
	 * State of a peer.
	 */
	public enum State {

		/** Heartbeats arrive in time. */
		LIVE,

		/** Heartbeats are overdue. */
		SUSPECT,

		/** The peer is leaving and gets no new work. */
		LEAVING,

		/** No sign of life of the peer has arrived within the absence timeout. */
		ABSENT

	}

}
