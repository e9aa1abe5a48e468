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
 * @param vm the VM of this daemon
 * @param incarnation number of this run, higher than that of each earlier run on the VM
 * @param dataCentre data centre of this daemon
 * @param callerAddress address for callers
 * @param host the IP address on which this daemon listens for other daemons
 * @param port port for other daemons, or 0 for any free port
 * @param secret secret of the federation
 * @param heartbeatInterval time between heartbeats
 * @param silenceTimeout time without an answered heartbeat after which a connection is
 * replaced
 * @param membershipTimeouts time limits of membership
 * @param transportLimits limits of the transport
 * @param maxPeers number of peers that a daemon talks to
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
	 * @param vm the VM of this daemon
	 * @param incarnation number of this run
	 * @param dataCentre data centre of this daemon
	 * @param callerAddress address for callers
	 * @param host the IP address on which this daemon listens for other daemons
	 * @param port port for other daemons, or 0 for any free port
	 * @param secret secret of the federation
	 * @return the settings
	 */
	public static PeerSettings of(VmId vm, long incarnation, DataCentreId dataCentre, Address callerAddress,
			String host, int port, FederationSecret secret) {
		return new PeerSettings(vm, incarnation, dataCentre, callerAddress, host, port, secret, HEARTBEAT, SILENCE,
				MembershipTimeouts.defaults(), LIMITS, MAX_PEERS);
	}

	/**
	 * Returns settings whose messages can hold a part of the configuration. All daemons
	 * of a federation need the same size, because the receiver closes the connection of a
	 * sender with a larger message.
	 * @param bytes largest submission in bytes
	 * @return the settings
	 */
	public PeerSettings withMaxSubmissionBytes(int bytes) {
		return new PeerSettings(this.vm, this.incarnation, this.dataCentre, this.callerAddress, this.host, this.port,
				this.secret, this.heartbeatInterval, this.silenceTimeout, this.membershipTimeouts,
				TransportLimits.defaults().withPayloadBytes(bytes), this.maxPeers);
	}

}
