package io.bilberryvalve.daemon;

import io.bilberryvalve.daemon.configuration.ConfigurationRollout;
import io.bilberryvalve.daemon.peer.ConfigurationStamps;
import io.bilberryvalve.model.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Passes configuration versions between the heartbeats of the peer network and the
 * {@link ConfigurationRollout}. The rollout needs the peer network and is therefore
 * created later; until it is set, this daemon reports version 0 and ignores the versions
 * of its peers.
 */
final class RolloutVersions implements ConfigurationStamps {

	private volatile @Nullable ConfigurationRollout rollout;

	void setRollout(ConfigurationRollout target) {
		this.rollout = target;
	}

	@Override
	public Stamp own() {
		ConfigurationRollout target = this.rollout;
		return (target != null) ? new Stamp(target.inForce().version(), target.inForce().digest()) : new Stamp(0, "");
	}

	@Override
	public void seen(VmId peer, Stamp stamp) {
		ConfigurationRollout target = this.rollout;
		if (target != null) {
			target.heard(peer, stamp.version());
		}
	}

}
