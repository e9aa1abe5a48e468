package io.bilberryvalve.gateway.peer;

import java.time.Clock;

import io.bilberryvalve.model.log.LogEvent;

/**
 * Logs that this daemon has kept an older configuration than a peer for a while. The line
 * tells a daemon that could not apply or read a new configuration from one that was never
 * told of it. Not safe for use by several threads.
 */
final class VersionLag {

	private static final System.Logger LOGGER = System.getLogger(VersionLag.class.getName());

	/**
	 * Lag that is not logged; a new version usually arrives at all daemons within less.
	 */
	private static final long QUIET_MILLIS = 500;

	private final Clock clock;

	private long reported;

	private long reportedAt;

	private boolean logged;

	VersionLag(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Compares the version of a peer with that of this daemon.
	 * @param peer name of the peer's VM
	 * @param peerVersion version of the peer
	 * @param ownVersion version of this daemon
	 * @return time in milliseconds since a peer first reported a version that this daemon
	 * still lacks; 0 if it lacks none that was reported
	 */
	long compare(String peer, long peerVersion, long ownVersion) {
		long now = this.clock.millis();
		if (ownVersion >= this.reported) {
			this.logged = false;
			if (peerVersion <= ownVersion) {
				return 0;
			}
			this.reported = peerVersion;
			this.reportedAt = now;
		}
		long lag = now - this.reportedAt;
		if (lag >= QUIET_MILLIS && !this.logged) {
			this.logged = true;
			LogEvent.of("configuration-behind")
				.with("peer", peer)
				.with("version", peerVersion)
				.with("known", ownVersion)
				.with("millis", lag)
				.log(LOGGER, System.Logger.Level.WARNING);
		}
		return lag;
	}

}
