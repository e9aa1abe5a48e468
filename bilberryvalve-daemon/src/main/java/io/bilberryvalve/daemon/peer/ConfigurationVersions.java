package io.bilberryvalve.daemon.peer;

import io.bilberryvalve.model.VmId;

/**
 * Connects heartbeats with the configuration: each heartbeat carries version and digest
 * of the sender's configuration.
 */
public interface ConfigurationVersions {

	/** Stamps of a daemon that does not take part in the rollout. */
	ConfigurationVersions NONE = new ConfigurationVersions() {

		@Override
		public VersionDigest local() {
			return new VersionDigest(0, "");
		}

		@Override
		public void onPeerVersion(VmId peer, VersionDigest stamp) {
		}

	};

	/**
	 * Returns the stamp of this daemon's configuration.
	 * @return the stamp
	 */
	VersionDigest local();

	/**
	 * Tells which configuration a peer has. Called for each heartbeat; it must not block.
	 * @param peer the peer
	 * @param stamp its stamp
	 */
	void onPeerVersion(VmId peer, VersionDigest stamp);

	/**
	 * Identifies a configuration.
	 *
	 * @param version its version, 0 for none
	 * @param digest its digest
	 */
	record VersionDigest(long version, String digest) {

	}

}
