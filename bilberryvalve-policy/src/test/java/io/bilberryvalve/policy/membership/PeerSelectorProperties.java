package io.bilberryvalve.policy.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.VmId;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

class PeerSelectorProperties {

	private static final int LIMIT = 32;

	private static final int DATA_CENTRES = 11;

	private static final int REGIONS = 4;

	private final PeerSelector selector = new PeerSelector(LIMIT, PeerSelectorProperties::region);

	// Guards against a federation that is divided into groups without connections
	// between them.
	@Property(seed = "61", tries = 30)
	void staysConnectedAfterRemovals(@ForAll @LongRange(max = 100_000) long seed) {
		for (int size : new int[] { 4, 8, 100 }) {
			checkRemovals(size, seed);
		}
	}

	@Example
	void staysConnectedAtPlannedSize() {
		checkRemovals(3100, 1);
	}

	// Guards against a small federation in which some entries do not learn each
	// other's demand.
	@Example
	void smallFederationIsFullMesh() {
		List<Member> members = members(LIMIT + 1);
		graph(members).forEach((vm, peers) -> assertThat(peers).hasSize(LIMIT));
	}

	// Guards against most connections changing whenever a member joins.
	@Example
	void joiningMemberChangesFewConnections() {
		List<Member> members = members(1000);
		Map<VmId, Set<VmId>> before = graph(members.subList(0, 999));
		Map<VmId, Set<VmId>> after = graph(members);
		long removed = before.entrySet()
			.stream()
			.mapToLong((
					entry) -> entry.getValue().stream().filter((vm) -> !after.get(entry.getKey()).contains(vm)).count())
			.sum();
		assertThat(removed).isLessThan(100);
	}

	private void checkRemovals(int size, long seed) {
		List<Member> members = members(size);
		Map<VmId, Set<VmId>> graph = graph(members);
		assertThat(component(graph)).hasSize(size);
		assertThat(graph.values()).allMatch((peers) -> peers.size() <= LIMIT);
		List<Member> left = new ArrayList<>(members);
		Collections.shuffle(left, new Random(seed));
		left = left.subList(0, Math.max(2, size - size / 3));
		assertThat(component(graph(left))).hasSize(left.size());
	}

	private Map<VmId, Set<VmId>> graph(List<Member> members) {
		Map<VmId, Set<VmId>> graph = new HashMap<>();
		for (Member self : members) {
			List<Member> others = members.stream().filter((member) -> member != self).toList();
			graph.put(self.vm(), this.selector.select(self, others));
		}
		return graph;
	}

	private static Set<VmId> component(Map<VmId, Set<VmId>> graph) {
		Map<VmId, Set<VmId>> both = new HashMap<>();
		graph.forEach((from, peers) -> peers.forEach((to) -> {
			both.computeIfAbsent(from, (key) -> new HashSet<>()).add(to);
			both.computeIfAbsent(to, (key) -> new HashSet<>()).add(from);
		}));
		Set<VmId> seen = new HashSet<>();
		ArrayDeque<VmId> next = new ArrayDeque<>(List.of(graph.keySet().iterator().next()));
		while (!next.isEmpty()) {
			VmId vm = next.poll();
			if (seen.add(vm)) {
				next.addAll(both.getOrDefault(vm, Set.of()));
			}
		}
		return seen;
	}

	private static List<Member> members(int size) {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			members.add(new Member(new VmId("vm-" + i), 1, new DataCentreId("dc-" + i % DATA_CENTRES),
					new Address("127.0.0.1", 1), new Address("127.0.0.1", 2)));
		}
		return members;
	}

	private static RegionId region(DataCentreId dataCentre) {
		return new RegionId("region-" + Integer.parseInt(dataCentre.value().substring(3)) % REGIONS);
	}

}
