package io.bilberryvalve.policy.share;

import java.util.List;

import io.bilberryvalve.model.VmId;

/**
 * Demand at one entry, exchanged between the entries as a report.
 *
 * @param origin VM of the entry
 * @param incarnation number of the run of the entry; a restart raises it
 * @param sequence number of the report within the run
 * @param held streams that the entry holds: its limit, or the number of running requests
 * if that is more
 * @param clubs demand of the clubs at this entry
 */
public record EntryDemand(VmId origin, long incarnation, long sequence, int held, List<ClubDemand> clubs) {

	/**
	 * Copies the list.
	 */
	public EntryDemand {
		clubs = List.copyOf(clubs);
	}

	/**
	 * Returns whether this demand was reported later than another one of its entry.
	 * @param other another demand of the same entry
	 * @return whether the incarnation, or within the same one the sequence, is higher
	 */
	public boolean newerThan(EntryDemand other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		return this.sequence > other.sequence;
	}

}
