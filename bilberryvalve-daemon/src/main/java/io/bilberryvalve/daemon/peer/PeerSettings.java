package io.bilberryvalve.daemon.peer;

import java.time.Duration;

import io.bilberryvalve.config.DaemonLimits;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.membership.MembershipTimeouts;
import io.bilberryvalve.wire.FederationSecret;
import io.bilberryvalve.wire.TransportLimits;

/**
 * Settings of the peer network.
 *
 * @param vm VM on which this daemon runs
 * @param incarnation number of this run, higher than that of each earlier run on the VM
 * @param dataCentre data centre of this daemon
 * @param callerAddress address at which this daemon accepts requests of callers
 * @param host IP address on which this daemon listens for other daemons
 * @param port port on which it listens for other daemons, or 0 for any free port
 * @param secret secret that all daemons of the federation share
 * @param heartbeatInterval time between two heartbeats
 * @param silenceTimeout time without an answer to a heartbeat after which a connection is
 * closed and replaced
 * @param membershipTimeouts silence after which a member counts as suspect, as absent and
 * as forgotten
 * @param transportLimits limits of messages, queues and connections
 * @param maxPeers largest number of peers that this daemon selects for lasting
 * connections; connections to others are opened for calls and may be closed when idle
 */
public record PeerSettings(VmId vm, long incarnation, DataCentreId dataCentre, Address callerAddress, String host,
		int port, FederationSecret secret, Duration heartbeatInterval, Duration silenceTimeout,
		MembershipTimeouts membershipTimeouts, TransportLimits transportLimits, int maxPeers) {

	private static final Duration HEARTBEAT = Duration.ofMillis(500);

	private static final Duration SILENCE = Duration.ofSeconds(2);

	private static final int MAX_PEERS = 32;

	private static final TransportLimits LIMITS = TransportLimits.defaults()
		.withPayloadBytes(DaemonLimits.defaults().submissionBytes());

	/**
	 * Creates settings with the times and limits used in production.
	 * @param vm the VM on which this daemon runs
	 * @param incarnation number of this run
	 * @param dataCentre data centre of this daemon
	 * @param callerAddress address at which this daemon accepts requests of callers
	 * @param host the IP address on which this daemon listens for other daemons
	 * @param port port on which it listens for other daemons, or 0 for any free port
	 * @param secret secret that all daemons of the federation share
	 * @return the settings
	 */
	public static PeerSettings of(VmId vm, long incarnation, DataCentreId dataCentre, Address callerAddress,
			String host, int port, FederationSecret secret) {
		return new PeerSettings(vm, incarnation, dataCentre, callerAddress, host, port, secret, HEARTBEAT, SILENCE,
				MembershipTimeouts.defaults(), LIMITS, MAX_PEERS);
	}

	/**
	 * Returns settings whose frame limit leaves space for a part of the configuration of
	 * the given size. All daemons of a federation need the same size, because a receiver
	 * closes the connection on which a larger message arrives.
	 * @param bytes largest configuration submission in bytes
	 * @return a copy with adapted transport limits
	 */
	public PeerSettings withMaxSubmissionBytes(int bytes) {
		return new PeerSettings(this.vm, this.incarnation, this.dataCentre, this.callerAddress, this.host, this.port,
				this.secret, this.heartbeatInterval, this.silenceTimeout, this.membershipTimeouts,
				TransportLimits.defaults().withPayloadBytes(bytes), this.maxPeers);
	}

}
