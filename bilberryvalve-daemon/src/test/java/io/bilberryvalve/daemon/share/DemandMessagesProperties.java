package io.bilberryvalve.daemon.share;

import java.util.List;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.share.ClubDemand;
import io.bilberryvalve.policy.share.EntryDemand;
import io.bilberryvalve.policy.share.TeamDemand;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class DemandMessagesProperties {

	// Guards against corrupted messages that cause another exception than the documented
	// one, and against negative or non-finite numbers that would make the shares of all
	// clubs invalid.
	@Property(seed = "101")
	void corruptedReportsAreRejectedOrUsable(@ForAll @IntRange(max = 200) int position,
			@ForAll @IntRange(max = 255) int change) {
		byte[] bytes = DemandMessages.encode(demand());
		bytes[position % bytes.length] ^= (byte) change;
		try {
			EntryDemand read = DemandMessages.decode(bytes).demand();
			assertThat(read.held()).isNotNegative();
			assertThat(read.clubs()).allMatch((club) -> club.streams() >= 0 && Double.isFinite(club.streams()));
			if (change == 0) {
				assertThat(read).isEqualTo(demand());
			}
		}
		catch (IllegalArgumentException ex) {
			assertThat(change).isNotZero();
		}
	}

	private static EntryDemand demand() {
		TeamDemand team = new TeamDemand(new TeamId("t"), 300, 200, 3, 2, 1.5, 1000, 10.5);
		return new EntryDemand(new VmId("vm-1"), 7, 9, 40,
				List.of(new ClubDemand(new ClubId("a"), 6.5, List.of(team))));
	}

}
