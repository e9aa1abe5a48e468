package io.bilberryvalve.policy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Stream;

import com.dynatrace.hash4j.hashing.Hashing;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.VmId;

/**
 * Selects the peers to which a daemon opens connections. A small federation is a full
 * mesh. In a larger one a daemon connects to its successor on the hash ring of its data
 * centre, which keeps the data centre connected, and to further members of its data
 * centre by rendezvous hashing; the delegates of a data centre connect to the delegates
 * of the other data centres of the region, and the delegates of a region to those of the
 * other regions. Since connections are used in both directions, a daemon in a large
 * federation adds members by rendezvous hashing only up to half of the limit; the other
 * half is for daemons that select it. Immutable.
 */
public final class PeerSelector {

	/** Largest number of delegates of a data centre or region. */
	public static final int DELEGATES_PER_GROUP = 2;

	private static final int SUCCESSORS = 1;

	private final int limit;

	private final Function<DataCentreId, RegionId> regions;

	/**
	 * Creates a selector.
	 * @param limit number of peers that a daemon is connected to, at least 8
	 * @param regions returns the region of a data centre
	 */
	public PeerSelector(int limit, Function<DataCentreId, RegionId> regions) {
		if (limit < 4 * DELEGATES_PER_GROUP) {
			throw new IllegalArgumentException(
					"peer limit " + limit + " is too small; use at least " + 4 * DELEGATES_PER_GROUP);
		}
		this.limit = limit;
		this.regions = regions;
	}

	/**
	 * Selects peers.
	 * @param self this daemon
	 * @param members all other members that are not absent
	 * @return the VMs to which this daemon opens connections
	 */
	public Set<VmId> select(Member self, Collection<Member> members) {
		if (members.size() <= this.limit) {
			Set<VmId> all = new TreeSet<>();
			members.forEach((member) -> all.add(member.vm()));
			return all;
		}
		List<Member> all = Stream.concat(Stream.of(self), members.stream()).toList();
		Set<VmId> chosen = new LinkedHashSet<>();
		addSuccessors(self, all, chosen);
		addDataCentreDelegates(self, all, chosen);
		addRegionDelegates(self, all, chosen);
		addByRendezvous(self, all, chosen);
		return chosen;
	}

	/**
	 * Returns the delegates of a group. All daemons that know the same members get the
	 * same delegates.
	 * @param name name of the data centre or region
	 * @param group members of the group
	 * @return at most {@value #DELEGATES_PER_GROUP} members of the group
	 */
	public static List<Member> delegates(String name, Collection<Member> group) {
		return ranked(name, group.stream()).limit(DELEGATES_PER_GROUP).toList();
	}

	private void addSuccessors(Member self, List<Member> all, Set<VmId> chosen) {
		TreeMap<Long, VmId> ring = new TreeMap<>();
		sameDataCentre(self, all).forEach((member) -> ring.put(position(member.vm()), member.vm()));
		long position = position(self.vm());
		Stream.concat(ring.tailMap(position, false).values().stream(), ring.headMap(position).values().stream())
			.limit(SUCCESSORS)
			.forEach(chosen::add);
	}

	private void addDataCentreDelegates(Member self, List<Member> all, Set<VmId> chosen) {
		String name = self.dataCentre().value();
		if (!delegates(name, sameDataCentre(self, all).toList()).contains(self)) {
			return;
		}
		RegionId region = this.regions.apply(self.dataCentre());
		Map<DataCentreId, List<Member>> groups = new TreeMap<>();
		for (Member member : all) {
			if (this.regions.apply(member.dataCentre()).equals(region)) {
				groups.computeIfAbsent(member.dataCentre(), (key) -> new ArrayList<>()).add(member);
			}
		}
		addDelegates(self.dataCentre(), groups, chosen);
	}

	private void addRegionDelegates(Member self, List<Member> all, Set<VmId> chosen) {
		RegionId own = this.regions.apply(self.dataCentre());
		List<Member> sameRegion = all.stream()
			.filter((member) -> this.regions.apply(member.dataCentre()).equals(own))
			.toList();
		if (!delegates(own.value(), sameRegion).contains(self)) {
			return;
		}
		Map<RegionId, List<Member>> groups = new TreeMap<>();
		for (Member member : all) {
			RegionId region = this.regions.apply(member.dataCentre());
			groups.computeIfAbsent(region, (key) -> new ArrayList<>()).add(member);
		}
		addDelegates(own, groups, chosen);
	}

	private static <K> void addDelegates(K own, Map<K, List<Member>> groups, Set<VmId> chosen) {
		groups.forEach((name, group) -> {
			if (!name.equals(own)) {
				delegates(name.toString(), group).forEach((delegate) -> chosen.add(delegate.vm()));
			}
		});
	}

	private void addByRendezvous(Member self, List<Member> all, Set<VmId> chosen) {
		Stream<Member> others = sameDataCentre(self, all)
			.filter((member) -> !member.vm().equals(self.vm()) && !chosen.contains(member.vm()));
		ranked(self.vm().value(), others).map(Member::vm)
			.limit(Math.max(0, this.limit / 2 - chosen.size()))
			.toList()
			.forEach(chosen::add);
	}

	/**
	 * Orders members by descending rendezvous hash. Each hash is computed only once.
	 * @param key name of the group or VM for which the members are ranked
	 * @param members members to rank
	 * @return members with the highest hash first
	 */
	private static Stream<Member> ranked(String key, Stream<Member> members) {
		return members.map((member) -> new Ranked(hash(key, member.vm().value()), member))
			.sorted(Comparator.comparingLong(Ranked::hash).reversed().thenComparing((ranked) -> ranked.member().vm()))
			.map(Ranked::member);
	}

	private static Stream<Member> sameDataCentre(Member self, List<Member> all) {
		return all.stream().filter((member) -> member.dataCentre().equals(self.dataCentre()));
	}

	private static long position(VmId vm) {
		return hash("ring", vm.value());
	}

	private static long hash(String key, String candidate) {
		return Hashing.komihash5_0().hashStream().putString(key).putString(candidate).getAsLong();
	}

	private record Ranked(long hash, Member member) {

	}

}
