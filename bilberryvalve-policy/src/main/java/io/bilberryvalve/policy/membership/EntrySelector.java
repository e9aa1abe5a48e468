package io.bilberryvalve.policy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;

/**
 * Selects the entries whose addresses are returned to callers. Safe for use by several
 * threads without locks.
 */
public final class EntrySelector {

	// Rotation of the next list. Successive callers get lists that start with
	// different entries, so that their load is spread.
	private final AtomicInteger rotation = new AtomicInteger();

	/**
	 * Selects the entries for the next caller: ready and live ones, those of the own data
	 * centre first, each group rotated. If there are none, suspect entries are returned
	 * instead, and if there are none of these either, leaving ones. The list is empty
	 * only if all ready entries are absent.
	 * @param members all entries with their states, this daemon included
	 * @param own data centre of this daemon
	 * @return entries in the order in which the caller should try them
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
	 * An entry as it is returned to callers.
	 *
	 * @param address address of the entry for callers
	 * @param dataCentre data centre of the entry
	 */
	public record Entry(Address address, DataCentreId dataCentre) {

	}

}
