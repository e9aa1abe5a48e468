package io.bilberryvalve.daemon.peer;

import io.bilberryvalve.model.VmId;

/**
 * Links the peer network to the configuration rollout. Each heartbeat carries the version
 * and the digest of the sender's configuration, so that a daemon whose configuration is
 * older notices it and asks the peer for the newer one.
 */
public interface ConfigurationVersions {

	/**
	 * Used by a daemon that does not take part in the rollout: it sends version 0 with an
	 * empty digest and ignores what its peers send.
	 */
	ConfigurationVersions NONE = new ConfigurationVersions() {

		@Override
		public VersionDigest local() {
			return new VersionDigest(0, "");
		}

		@Override
		public void onPeerVersion(VmId peer, VersionDigest version) {
		}

	};

	/**
	 * Returns the version and digest that this daemon sends with its heartbeats.
	 * @return the version and digest of the configuration of this daemon; version 0 if it
	 * has none
	 */
	VersionDigest local();

	/**
	 * Notes which configuration a peer runs. Called for each heartbeat on an I/O thread
	 * of the transport, so it must not block.
	 * @param peer the VM of the peer that sent the heartbeat
	 * @param version version and digest of the peer's configuration
	 */
	void onPeerVersion(VmId peer, VersionDigest version);

	/**
	 * Identifies a configuration by its version and its content.
	 *
	 * @param version version of the configuration, 0 if there is none
	 * @param digest digest of its content, empty if there is none
	 */
	record VersionDigest(long version, String digest) {

	}

}
