package io.bilberryvalve.daemon;

import io.bilberryvalve.daemon.configuration.ConfigurationRollout;
import io.bilberryvalve.daemon.peer.ConfigurationVersions;
import io.bilberryvalve.model.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Connects heartbeats with the rollout, which is created after the peer network.
 */
final class RolloutStamps implements ConfigurationVersions {

	private volatile @Nullable ConfigurationRollout rollout;

	void connect(ConfigurationRollout target) {
		this.rollout = target;
	}

	@Override
	public VersionDigest local() {
		ConfigurationRollout target = this.rollout;
		return (target != null) ? new VersionDigest(target.inForce().version(), target.inForce().digest())
				: new VersionDigest(0, "");
	}

	@Override
	public void onPeerVersion(VmId peer, VersionDigest stamp) {
		ConfigurationRollout target = this.rollout;
		if (target != null) {
			target.heard(peer, stamp.version());
		}
	}

}
