package io.bilberryvalve.daemon.peer;

import java.util.Random;

import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.wire.FederationSecret;
import io.bilberryvalve.wire.proto.MemberDigest;
import io.bilberryvalve.wire.proto.MemberEntry;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class PeerMembershipTests {

	private static final MemberEntry GOOD = MemberEntry.newBuilder()
		.setVm("vm-b")
		.setIncarnation(1)
		.setBeat(3)
		.setDataCentre("dc-1")
		.setCallerAddress("127.0.0.1:8001")
		.setPeerAddress("127.0.0.1:8101")
		.setReady(true)
		.build();

	private final ManualClock clock = new ManualClock();

	private final PeerMembership membership = new PeerMembership(
			PeerSettings.of(new VmId("vm-a"), 7, new DataCentreId("dc-1"), new Address("127.0.0.1", 8000), "127.0.0.1",
					0, FederationSecret.of("a secret for tests only")),
			new Address("127.0.0.1", 8100), new Lifecycle(), this.clock, (dataCentre) -> new RegionId("region"));

	// Guards against one odd entry that hides the other members of a digest or ends the
	// connection on which it arrived.
	@Property(tries = 200, seed = "61")
	void mergesTheOtherEntriesOfADigest(@ForAll long seed) {
		PeerMembershipTests local = new PeerMembershipTests();
		Random random = new Random(seed);
		MemberDigest.Builder digest = MemberDigest.newBuilder();
		for (int i = 0; i < 3; i++) {
			digest.addEntries(oddEntry(random));
		}
		local.membership.mergeDigest(digest.addEntries(GOOD).build());
		local.membership.tick();
		local.membership.digest(16);
		assertThat(local.membership.members()).anyMatch((view) -> view.member().vm().value().equals("vm-b"));
		assertThat(local.membership.identity().incarnation()).isPositive();
	}

	// Guards against a daemon that takes an incarnation that its peers ignore.
	@Example
	void doesNotTakeANegativeIncarnation() {
		MemberEntry self = GOOD.toBuilder().setVm("vm-a").setIncarnation(Long.MAX_VALUE).build();
		this.membership.mergeDigest(MemberDigest.newBuilder().addEntries(self).addEntries(GOOD).build());
		assertThat(this.membership.identity().incarnation()).isPositive();
	}

	private static MemberEntry oddEntry(Random random) {
		MemberEntry.Builder entry = GOOD.toBuilder().setVm("vm-c");
		switch (random.nextInt(7)) {
			case 0 -> entry.setVm("");
			case 1 -> entry.setPeerAddress("127.0.0.1:80010");
			case 2 -> entry.setCallerAddress("");
			case 3 -> entry.setDataCentre(" ");
			case 4 -> entry.setIncarnation(random.nextLong()).setVm("vm-a");
			case 5 -> entry.setBeat(random.nextLong()).setPeerAddress("127.0.0.1:" + "9".repeat(2000));
			default -> entry.setIncarnation(Long.MAX_VALUE).setVm("vm-a").setAbsent(true);
		}
		return entry.build();
	}

}
