package io.bilberryvalve.policy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;

/**
 * Chooses the addresses that callers get. Safe for use by several threads without locks.
 */
public final class EntrySelector {

	// Starts differ between callers that ask one after the other, so that they spread.
	private final AtomicInteger rotation = new AtomicInteger();

	/**
	 * Returns the entries for the next caller: live ones, those of the own data centre
	 * first, each group rotated. If none is live, suspect and then leaving entries are
	 * listed, so that the list is empty only if all entries are absent.
	 * @param members all entries with their states, this one included
	 * @param own data centre of this daemon
	 * @return the entries
	 */
	public List<Entry> select(Collection<MemberView> members, DataCentreId own) {
		int start = this.rotation.getAndIncrement() & Integer.MAX_VALUE;
		List<Member> usable = usable(members);
		List<Entry> entries = new ArrayList<>(usable.size());
		addRotated(usable, (member) -> member.dataCentre().equals(own), start, entries);
		addRotated(usable, (member) -> !member.dataCentre().equals(own), start, entries);
		return entries;
	}

	private static List<Member> usable(Collection<MemberView> members) {
		for (MemberState state : List.of(MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING)) {
			List<Member> found = members.stream()
				.filter((view) -> view.ready() && view.state() == state)
				.map(MemberView::member)
				.toList();
			if (!found.isEmpty()) {
				return found;
			}
		}
		return List.of();
	}

	private static void addRotated(List<Member> usable, Predicate<Member> group, int start, List<Entry> entries) {
		List<Member> chosen = usable.stream().filter(group).toList();
		for (int i = 0; i < chosen.size(); i++) {
			Member member = chosen.get((int) (((long) start + i) % chosen.size()));
			entries.add(new Entry(member.callerAddress(), member.dataCentre()));
		}
	}

	/**
	 * An entry as callers see it.
	 *
	 * @param address its address for callers
	 * @param dataCentre its data centre
	 */
	public record Entry(Address address, DataCentreId dataCentre) {

	}

}
