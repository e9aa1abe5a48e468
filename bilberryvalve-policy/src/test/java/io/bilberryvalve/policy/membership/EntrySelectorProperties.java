package io.bilberryvalve.policy.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

class EntrySelectorProperties {

	private static final DataCentreId OWN = new DataCentreId("dc-0");

	private final EntrySelector selector = new EntrySelector();

	// Guards against callers that get no address although an entry is reachable, and
	// against leaving entries in the list while others are live.
	@Property(seed = "71")
	void neverEmptyWhileEntryIsNotAbsent(@ForAll @Size(min = 1, max = 9) List<MemberState> states) {
		List<MemberView> members = views(states);
		List<EntrySelector.Entry> entries = this.selector.select(members, OWN);
		boolean reachable = states.stream().anyMatch((state) -> state != MemberState.ABSENT);
		assertThat(entries.isEmpty()).isNotEqualTo(reachable);
		if (states.contains(MemberState.LIVE)) {
			List<Integer> live = IntStream.range(0, states.size())
				.filter((i) -> states.get(i) == MemberState.LIVE)
				.map((i) -> i + 1)
				.boxed()
				.toList();
			assertThat(entries).extracting((entry) -> entry.address().port()).containsExactlyInAnyOrderElementsOf(live);
		}
	}

	// Guards against all callers trying the same entry first.
	@Example
	void ownDataCentreFirstAndRotated() {
		List<MemberView> members = views(IntStream.range(0, 6).mapToObj((i) -> MemberState.LIVE).toList());
		Set<Address> first = new HashSet<>();
		for (int i = 0; i < 3; i++) {
			List<EntrySelector.Entry> entries = this.selector.select(members, OWN);
			first.add(entries.get(0).address());
			assertThat(entries.subList(0, 3)).allMatch((entry) -> entry.dataCentre().equals(OWN));
			assertThat(entries).hasSize(6);
		}
		assertThat(first).hasSize(3);
	}

	private static List<MemberView> views(List<MemberState> states) {
		return IntStream.range(0, states.size()).mapToObj((i) -> view(i, states.get(i))).toList();
	}

	private static MemberView view(int i, MemberState state) {
		return new MemberView(new Member(new VmId("vm-" + i), 1, new DataCentreId("dc-" + i % 2),
				new Address("127.0.0.1", i + 1), new Address("127.0.0.1", 100 + i)), state, true);
	}

}
