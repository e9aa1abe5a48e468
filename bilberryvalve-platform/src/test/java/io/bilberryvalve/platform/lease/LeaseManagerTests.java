package io.bilberryvalve.platform.lease;

import java.util.List;
import java.util.Random;

import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import io.bilberryvalve.policy.lease.LeaseTimes;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseManagerTests {

	private static final LeaseTimes TIMES = LeaseTimes.defaults();

	private static final List<String> ODD = List.of("", "no JSON", "[]", "{\"holder\":\"x\",\"fencing\":-1}",
			"{\"holder\":\"x\",\"fencing\":0}", "{\"holder\":\"x\",\"fencing\":" + "9".repeat(2000) + "}",
			"{\"holder\":\"x\",\"fencing\":9223372036854775807}", "[".repeat(5000) + "]".repeat(5000));

	// Guards against a daemon that never competes for a lease again after it has read one
	// odd row, even when the row has been repaired.
	@Property(tries = 60, seed = "41")
	void competesAgainAfterAnOddRow(@ForAll long seed) {
		Random random = new Random(seed);
		ManualClock clock = new ManualClock();
		InMemoryTableService tables = new InMemoryTableService();
		LeaseManager manager = new LeaseManager("m/south", new LeaseCandidate("pav-1", TIMES, clock, random), tables);
		for (int i = 0; i < 4; i++) {
			put(tables, ODD.get(random.nextInt(ODD.size())));
			for (int round = 0; round < random.nextInt(4); round++) {
				manager.tick(true);
				clock.advance(TIMES.renewalInterval());
			}
		}
		put(tables, "{\"holder\":\"\",\"fencing\":7}");
		for (int i = 0; i < 8 && manager.grant().isEmpty(); i++) {
			clock.advance(TIMES.renewalInterval());
			manager.tick(true);
		}
		assertThat(manager.grant()).isPresent();
	}

	private static void put(InMemoryTableService tables, String value) {
		tables.commit(List.of(new RowOperation.Put(LeaseManager.TABLE, "m/south", null, value)));
	}

}
