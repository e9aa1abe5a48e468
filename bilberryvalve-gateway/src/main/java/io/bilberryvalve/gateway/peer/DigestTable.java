package io.bilberryvalve.gateway.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

import io.bilberryvalve.gateway.peer.ReceivedDigest.Width;
import io.bilberryvalve.model.DataCentreId;

/**
 * Last digests of the delegates, and the choice of those that count. Confined to one
 * thread.
 */
final class DigestTable {

	/** Age above which a digest no longer counts. */
	static final long LIFETIME_MILLIS = 2500;

	/**
	 * Age up to which a digest with more daemons is preferred to a newer one. Two periods
	 * of a delegate, so that a lost digest changes nothing.
	 */
	static final long FRESH_MILLIS = 600;

	/** Largest number of senders; more than a fleet has at a time. */
	private static final int MAX_SENDERS = 256;

	private static final Comparator<ReceivedDigest> NEWEST_LAST = Comparator
		.comparingLong(ReceivedDigest::receivedMillis);

	private final Map<String, ReceivedDigest> digests = new HashMap<>();

	/**
	 * Adds a digest if it is newer than the known one of its sender.
	 * @param next the digest
	 * @return whether it was added
	 */
	boolean add(ReceivedDigest next) {
		removeExpired(next.receivedMillis());
		ReceivedDigest known = this.digests.get(next.source());
		if (known == null && this.digests.size() >= MAX_SENDERS) {
			return false;
		}
		if (known != null && !isNewer(next, known)) {
			return false;
		}
		this.digests.put(next.source(), next);
		return true;
	}

	private static boolean isNewer(ReceivedDigest next, ReceivedDigest known) {
		return next.incarnation() > known.incarnation()
				|| (next.incarnation() == known.incarnation() && next.sequence() > known.sequence());
	}

	private void removeExpired(long now) {
		this.digests.values().removeIf((digest) -> now - digest.receivedMillis() > LIFETIME_MILLIS);
	}

	/**
	 * Returns the digest of all data centres that counts.
	 * @param now current time in milliseconds
	 * @return the widest of the fresh ones, otherwise the newest; empty if all have
	 * expired
	 */
	Optional<ReceivedDigest> whole(long now) {
		return best((digest) -> !digest.ownDataCentreOnly(), now);
	}

	/**
	 * Returns the digests of the other data centres that count.
	 * @param now current time in milliseconds
	 * @return one digest for each data centre, chosen like that of all data centres
	 */
	Map<DataCentreId, ReceivedDigest> byDataCentre(long now) {
		Map<DataCentreId, ReceivedDigest> chosen = new TreeMap<>(Comparator.comparing(DataCentreId::value));
		for (ReceivedDigest digest : List.copyOf(this.digests.values())) {
			if (digest.ownDataCentreOnly()) {
				chosen.computeIfAbsent(digest.dataCentre(),
						(key) -> best((other) -> other.ownDataCentreOnly() && other.dataCentre().equals(key), now)
							.orElse(null));
			}
		}
		return chosen;
	}

	private Optional<ReceivedDigest> best(Predicate<ReceivedDigest> filter, long now) {
		removeExpired(now);
		List<ReceivedDigest> candidates = this.digests.values().stream().filter(filter).toList();
		Optional<ReceivedDigest> widest = candidates.stream()
			.filter((digest) -> now - digest.receivedMillis() <= FRESH_MILLIS)
			.max(Comparator.comparing(ReceivedDigest::width).thenComparing(NEWEST_LAST));
		return widest.isPresent() ? widest : candidates.stream().max(NEWEST_LAST);
	}

	/**
	 * Chooses the digests that count for this daemon.
	 * @param delegate whether this daemon is a delegate
	 * @param direct how much this daemon knows without a digest of all data centres
	 * @param now current time in milliseconds
	 * @return digests that contain no daemon twice
	 */
	List<ReceivedDigest> select(boolean delegate, Width direct, long now) {
		Map<DataCentreId, ReceivedDigest> single = byDataCentre(now);
		Optional<ReceivedDigest> whole = whole(now).filter((digest) -> !delegate
				|| (now - digest.receivedMillis() <= FRESH_MILLIS && digest.width().compareTo(direct) > 0));
		List<ReceivedDigest> chosen = new ArrayList<>();
		whole.ifPresent(chosen::add);
		single.forEach((dataCentre, digest) -> {
			if (whole.isEmpty() || !whole.get().otherDataCentres().contains(dataCentre)) {
				chosen.add(digest);
			}
		});
		return chosen;
	}

}
