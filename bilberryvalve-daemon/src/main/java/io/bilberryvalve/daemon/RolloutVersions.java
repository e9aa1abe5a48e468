package io.bilberryvalve.daemon;

import io.bilberryvalve.daemon.configuration.ConfigurationRollout;
import io.bilberryvalve.daemon.peer.ConfigurationVersions;
import io.bilberryvalve.model.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Passes configuration versions between the heartbeats of the peer network and the
 * {@link ConfigurationRollout}. The rollout needs the peer network and is therefore
 * created later; until it is set, this daemon reports version 0 and ignores the versions
 * of its peers.
 */
final class RolloutVersions implements ConfigurationVersions {

	private volatile @Nullable ConfigurationRollout rollout;

	void setRollout(ConfigurationRollout target) {
		this.rollout = target;
	}

	@Override
	public VersionDigest local() {
		ConfigurationRollout target = this.rollout;
		return (target != null) ? new VersionDigest(target.snapshot().version(), target.snapshot().digest())
				: new VersionDigest(0, "");
	}

	@Override
	public void onPeerVersion(VmId peer, VersionDigest stamp) {
		ConfigurationRollout target = this.rollout;
		if (target != null) {
			target.onPeerVersion(peer, stamp.version());
		}
	}

}
