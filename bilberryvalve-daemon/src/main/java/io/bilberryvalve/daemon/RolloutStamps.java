package io.bilberryvalve.daemon;

import io.bilberryvalve.daemon.configuration.ConfigurationRollout;
import io.bilberryvalve.daemon.peer.ConfigurationStamps;
import io.bilberryvalve.model.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Connects heartbeats with the rollout, which is created after the peer network.
 */
final class RolloutStamps implements ConfigurationStamps {

	private volatile @Nullable ConfigurationRollout rollout;

	void connect(ConfigurationRollout target) {
		this.rollout = target;
	}

	@Override
	public Stamp own() {
		ConfigurationRollout target = this.rollout;
		return (target != null) ? new Stamp(target.snapshot().version(), target.snapshot().digest()) : new Stamp(0, "");
	}

	@Override
	public void seen(VmId peer, Stamp stamp) {
		ConfigurationRollout target = this.rollout;
		if (target != null) {
			target.onPeerVersion(peer, stamp.version());
		}
	}

}
