package io.bilberryvalve.daemon.peer;

import io.bilberryvalve.model.VmId;

/**
 * Connects heartbeats with the configuration: each heartbeat carries version and digest
 * of the sender's configuration.
 */
public interface ConfigurationStamps {

	/** Stamps of a daemon that does not take part in the rollout. */
	ConfigurationStamps NONE = new ConfigurationStamps() {

		@Override
		public Stamp own() {
			return new Stamp(0, "");
		}

		@Override
		public void seen(VmId peer, Stamp stamp) {
		}

	};

	/**
	 * Returns the stamp of this daemon's configuration.
	 * @return the stamp
	 */
	Stamp own();

	/**
	 * Tells which configuration a peer has. Called for each heartbeat; it must not block.
	 * @param peer the peer
	 * @param stamp its stamp
	 */
	void seen(VmId peer, Stamp stamp);

	/**
	 * Identifies a configuration.
	 *
	 * @param version its version, 0 for none
	 * @param digest its digest
	 */
	record Stamp(long version, String digest) {

	}

}
