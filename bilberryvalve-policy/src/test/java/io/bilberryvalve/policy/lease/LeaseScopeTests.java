package io.bilberryvalve.policy.lease;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;

import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.VmId;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against daemons that disagree about the candidates of a lease, and against
 * fencing numbers with which an engine would accept an order for an earlier
 * configuration.
 */
class LeaseScopeTests {

	private static final LeaseScope SCOPE = new LeaseScope(new ModelId("m"), new RegionId("south"));

	private final List<VmId> live = IntStream.range(0, 40).mapToObj((i) -> new VmId("vm-" + i)).toList();

	@Example
	void choosesSameCandidatesInAnyOrder() {
		List<VmId> reversed = new ArrayList<>(this.live);
		Collections.reverse(reversed);
		assertThat(SCOPE.candidates(reversed)).isEqualTo(SCOPE.candidates(this.live))
			.hasSize(LeaseScope.MAX_CANDIDATES);
	}

	@Example
	void keepsCandidateWhenAnotherMemberLeaves() {
		List<VmId> before = SCOPE.candidates(this.live);
		List<VmId> rest = new ArrayList<>(this.live);
		rest.remove(before.get(0));
		assertThat(SCOPE.candidates(rest)).contains(before.get(1));
	}

	@Example
	void spreadsLeasesOverMembers() {
		long holders = IntStream.range(0, 116)
			.mapToObj((i) -> new LeaseScope(new ModelId("m" + i), new RegionId("south")).candidates(this.live).get(0))
			.distinct()
			.count();
		assertThat(holders).isGreaterThan(20);
	}

	@Example
	void fencingNumbersOfLaterConfigurationsAreHigher() {
		FencingNumber late = new FencingNumber(900).forOrder(7);
		assertThat(new FencingNumber(1).forOrder(8)).isGreaterThan(late);
		assertThat(new FencingNumber(901).forOrder(7)).isGreaterThan(late);
	}

}
