package io.bilberryvalve.policy.share;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Computes how many of the federation's streams this entry may use.
 *
 * <p>
 * The entries exchange demand reports, and each entry computes the same targets from
 * them. An entry lowers its limit to its target at once. It raises its limit only by
 * streams that no entry holds according to the reports, and it divides these free streams
 * with the other entries that are below their targets. An entry whose report is late is
 * assumed to take as many of them as it could.
 *
 * <p>
 * With reports that are at most one exchange old, the limits of all entries together
 * exceed the capacity by at most the streams that were released in one exchange. The
 * stated bound is 110 percent of the capacity for limits, and a further 10 percent for
 * running requests because of the overdraft.
 *
 * <p>
 * The safe share of an entry is an equal part of the capacity. An entry that receives no
 * report from any other entry for {@link #ISOLATION_TIMEOUT} uses its safe share as its
 * limit. For a single entry that does not report, the others reserve its safe share or
 * the streams that it held last, whichever is more, until it has been silent for twice
 * the isolation timeout, and its safe share thereafter. Once it has been absent for
 * {@link #ABSENT_SHARE_RETENTION} and at least half of the entries are present, its share
 * goes to the others. A partition into two halves of equal size can thus double the
 * limits after that time; any other partition adds less than half.
 *
 * <p>
 * Not safe for use by several threads.
 */
public final class ShareAllocator {

	/** Time without any report after which an entry uses its safe share. */
	public static final Duration ISOLATION_TIMEOUT = Duration.ofSeconds(3);

	/** Time for which the share of an absent entry stays reserved for it. */
	public static final Duration ABSENT_SHARE_RETENTION = Duration.ofSeconds(5);

	// A report of this age is more than one exchange old: a later one was lost, and the
	// entry may need far more than is known here.
	private static final Duration LATE_REPORT_AGE = Duration.ofMillis(400);

	private static final double FLOOR_FRACTION = 0.02;

	private static final double OVERDRAFT_FRACTION = 0.1;

	private static final int MIN_OVERDRAFT_STREAMS = 2;

	private static final double PERCENT = 100;

	private final VmId self;

	private final Clock clock;

	private final Map<VmId, Report> reports = new HashMap<>();

	private final Map<VmId, Long> absentSince = new HashMap<>();

	private final long startMillis;

	private int limit;

	private boolean isolated;

	/**
	 * Creates an allocator that has no reports.
	 * @param self the VM of this entry
	 * @param clock measures the age of reports and the time since the start
	 */
	public ShareAllocator(VmId self, Clock clock) {
		this.self = self;
		this.clock = clock;
		this.startMillis = clock.millis();
	}

	/**
	 * Records a report of another entry. Repeated and old reports are ignored.
	 * @param demand demand of the other entry
	 * @return whether the report was newer than the last one of that entry
	 */
	public boolean report(EntryDemand demand) {
		Report known = this.reports.get(demand.origin());
		if (demand.origin().equals(this.self) || (known != null && !demand.newerThan(known.demand))) {
			return false;
		}
		this.reports.put(demand.origin(), new Report(demand, this.clock.millis()));
		return true;
	}

	/**
	 * Computes the streams and rates that this entry may use until the next call.
	 * @param capacity capacity of the federation
	 * @param weights configured weights of clubs and teams
	 * @param others the other entries of the last known member list
	 * @param own demand at this entry; its {@code held} is the number of running requests
	 * @return limit, overdraft, guarantees and rates of this entry
	 */
	public Allocation allocate(Capacity capacity, ShareWeights weights, Collection<KnownEntry> others,
			EntryDemand own) {
		this.reports.keySet().retainAll(others.stream().map(KnownEntry::vm).toList());
		List<VmId> entries = entriesWithShare(others);
		int streams = capacity.streams();
		int safe = safeShare(entries, this.self, streams);
		List<Report> fresh = new ArrayList<>();
		int reserved = 0;
		for (VmId vm : entries) {
			Report report = this.reports.get(vm);
			if (report != null && age(report) < ISOLATION_TIMEOUT.toMillis()) {
				fresh.add(report);
			}
			else {
				reserved += reservedStreams(report, safeShare(entries, vm, streams));
			}
		}
		this.isolated = !entries.isEmpty() && fresh.isEmpty();
		FederationShares shares = this.isolated ? useSafeShare(safe, weights, own)
				: useReports(Math.max(0, streams - reserved), weights, fresh, own);
		return allocation(capacity, weights, shares, safe);
	}

	/**
	 * Returns whether this entry uses its safe share because no other entry reports.
	 * @return whether this was so at the last call of {@link #allocate}
	 */
	public boolean isolated() {
		return this.isolated;
	}

	private Allocation allocation(Capacity capacity, ShareWeights weights, FederationShares shares, int safe) {
		int size = Math.max(this.limit, safe);
		Map<ClubId, Double> guarantees = new HashMap<>();
		weights.clubs().forEach((club, percent) -> guarantees.put(club, size * percent / PERCENT));
		shares.limitedClubs(this.self).forEach((club, streams) -> guarantees.merge(club, streams, Math::min));
		double fraction = (capacity.streams() > 0) ? (double) this.limit / capacity.streams() : 0;
		return new Allocation(this.limit, overdraft(safe), guarantees, shares.rates(this.self),
				capacity.tokensPerSecond() * fraction);
	}

	/**
	 * Returns the overdraft of an entry.
	 * @param safe safe share of the entry, in streams
	 * @return 10 percent of the safe share, but at least 2 streams and at most the safe
	 * share
	 */
	static int overdraft(int safe) {
		return Math.min(safe, Math.max(MIN_OVERDRAFT_STREAMS, (int) (OVERDRAFT_FRACTION * safe)));
	}

	private FederationShares useSafeShare(int safe, ShareWeights weights, EntryDemand own) {
		boolean starting = this.clock.millis() - this.startMillis < ISOLATION_TIMEOUT.toMillis()
				&& this.reports.isEmpty();
		this.limit = starting ? Math.min(this.limit, safe) : safe;
		return new FederationShares(weights, List.of(own), this.limit);
	}

	private FederationShares useReports(int streams, ShareWeights weights, List<Report> fresh, EntryDemand own) {
		TreeMap<VmId, EntryDemand> entries = new TreeMap<>();
		fresh.forEach((report) -> entries.put(report.demand.origin(), report.demand));
		entries.put(this.self, own);
		List<EntryDemand> ordered = List.copyOf(entries.values());
		int floor = floor(streams, ordered.size());
		FederationShares shares = new FederationShares(weights, ordered, streams - floor * ordered.size());
		moveTowardsTarget(streams, targets(streams, floor, List.copyOf(entries.keySet()), shares), fresh, own.held());
		return shares;
	}

	/**
	 * Returns the target of each entry: its floor, the streams that its clubs get there
	 * and an equal part of the streams that no club needs.
	 * @param streams streams to divide among these entries
	 * @param floor streams that each entry gets without demand
	 * @param entries the VMs of the entries
	 * @param shares streams of the clubs at each entry
	 * @return the targets; their sum is {@code streams}
	 */
	private static Map<VmId, Integer> targets(int streams, int floor, List<VmId> entries, FederationShares shares) {
		double[] parts = entries.stream().mapToDouble(shares::streams).toArray();
		double used = Arrays.stream(parts).sum();
		double spare = Math.max(0, streams - floor * parts.length - used) / parts.length;
		for (int i = 0; i < parts.length; i++) {
			parts[i] += spare + floor;
		}
		int[] whole = WeightedMaxMin.apportion(parts, streams);
		Map<VmId, Integer> targets = new TreeMap<>();
		for (int i = 0; i < whole.length; i++) {
			targets.put(entries.get(i), whole[i]);
		}
		return targets;
	}

	private void moveTowardsTarget(int streams, Map<VmId, Integer> targets, List<Report> fresh, int running) {
		int target = targets.get(this.self);
		if (target <= this.limit) {
			this.limit = target;
			return;
		}
		int free = streams - Math.max(this.limit, running);
		double[] gaps = new double[fresh.size() + 1];
		gaps[0] = target - this.limit;
		for (int i = 0; i < fresh.size(); i++) {
			Report report = fresh.get(i);
			free -= report.assumedHeld;
			boolean late = age(report) > LATE_REPORT_AGE.toMillis();
			gaps[i + 1] = late ? streams : Math.max(0, targets.get(report.demand.origin()) - report.assumedHeld);
		}
		if (free <= 0) {
			return;
		}
		double sum = Arrays.stream(gaps).sum();
		int[] rises = WeightedMaxMin.apportion(gaps, (int) Math.min(free, sum));
		this.limit += rises[0];
		for (int i = 0; i < fresh.size(); i++) {
			fresh.get(i).assumedHeld += rises[i + 1];
		}
	}

	private List<VmId> entriesWithShare(Collection<KnownEntry> others) {
		long now = this.clock.millis();
		long present = 1 + others.stream().filter((entry) -> !entry.absent()).count();
		boolean enough = 2 * present >= others.size() + 1;
		TreeSet<VmId> entries = new TreeSet<>();
		for (KnownEntry entry : others) {
			if (!entry.absent()) {
				this.absentSince.remove(entry.vm());
				entries.add(entry.vm());
			}
			else {
				long since = this.absentSince.computeIfAbsent(entry.vm(), (key) -> now);
				if (!enough || now - since < ABSENT_SHARE_RETENTION.toMillis()) {
					entries.add(entry.vm());
				}
			}
		}
		return List.copyOf(entries);
	}

	private int reservedStreams(@Nullable Report report, int safe) {
		boolean recent = report != null && age(report) < 2 * ISOLATION_TIMEOUT.toMillis();
		return recent ? Math.max(safe, report.assumedHeld) : safe;
	}

	private long age(Report report) {
		return this.clock.millis() - report.receivedMillis;
	}

	private static int floor(int streams, int entries) {
		int fair = streams / entries;
		return (int) Math.min(fair, Math.max(1, Math.round(FLOOR_FRACTION * fair)));
	}

	private int safeShare(List<VmId> others, VmId vm, int streams) {
		TreeSet<VmId> all = new TreeSet<>(others);
		all.add(this.self);
		int rank = all.headSet(vm).size();
		int entries = all.size();
		return streams / entries + ((rank < streams % entries) ? 1 : 0);
	}

	private static final class Report {

		private final EntryDemand demand;

		private final long receivedMillis;

		private int assumedHeld;

		Report(EntryDemand demand, long atMillis) {
			this.demand = demand;
			this.receivedMillis = atMillis;
			this.assumedHeld = demand.held();
		}

	}

}
