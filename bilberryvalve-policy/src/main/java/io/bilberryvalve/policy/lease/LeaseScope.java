package io.bilberryvalve.policy.lease;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.VmId;

/**
 * Scope of a lease: the engines of one model in one region.
 *
 * @param model model that the engines serve
 * @param region region of the engines
 */
public record LeaseScope(ModelId model, RegionId region) implements Comparable<LeaseScope> {

	/** Largest number of daemons that compete for a lease. */
	public static final int MAX_CANDIDATES = 2;

	/**
	 * Chooses the daemons that compete for the lease. It uses rendezvous hashing, so that
	 * daemons that know the same members agree without messages.
	 * @param live the VMs of the live members
	 * @return at most {@value #MAX_CANDIDATES} VMs, the one with the highest hash first
	 */
	public List<VmId> candidates(Collection<VmId> live) {
		return live.stream()
			.sorted(Comparator.comparingLong(this::score).reversed().thenComparing(Comparator.naturalOrder()))
			.limit(MAX_CANDIDATES)
			.toList();
	}

	private long score(VmId vm) {
		return Hashing.komihash5_0().hashCharsToLong(vm + " " + this);
	}

	@Override
	public int compareTo(LeaseScope other) {
		return toString().compareTo(other.toString());
	}

	@Override
	public String toString() {
		return this.model + "/" + this.region;
	}

}
