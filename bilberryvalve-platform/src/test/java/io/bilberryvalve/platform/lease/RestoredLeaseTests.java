package io.bilberryvalve.platform.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.memory.Fault;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.platform.watch.StoreEra;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import io.bilberryvalve.policy.lease.LeaseTimes;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the lease while its store is restored from copies that lack the last writes.
 */
class RestoredLeaseTests {

	private static final LeaseTimes TIMES = new LeaseTimes(Duration.ofSeconds(4), Duration.ofMillis(500),
			Duration.ofSeconds(1), Duration.ofSeconds(1));

	private static final String KEY = "layers";

	private final ManualClock clock = new ManualClock();

	private final InMemoryTableService tables = new InMemoryTableService();

	private final StoreEra storeEra = new StoreEra();

	private LeaseManager manager(String name) {
		return new LeaseManager(KEY, new LeaseCandidate(name, TIMES, this.clock, new Random(name.hashCode())),
				this.tables, this.storeEra);
	}

	private void run(Duration time, LeaseManager... managers) {
		for (long passed = 0; passed < time.toMillis(); passed += 250) {
			this.clock.advance(Duration.ofMillis(250));
			for (LeaseManager manager : managers) {
				manager.tick(true);
			}
		}
	}

	private static long fencing(LeaseManager manager) {
		return manager.grant().orElseThrow().fencing().value();
	}

	// Guards against orders under a grant that the store has lost.
	@Example
	void grantEndsWithItsEraAndIsReplacedByAHigherOne() {
		InMemoryTableService.Copy empty = this.tables.copy();
		LeaseManager holder = manager("one");
		run(Duration.ofSeconds(2), holder);
		long before = fencing(holder);
		this.tables.restore(empty);
		this.storeEra.observe(1);
		assertThat(holder.grant()).isEmpty();
		run(Duration.ofMillis(250), holder);
		assertThat(fencing(holder)).isGreaterThan(before).isEqualTo((1L << 32) + 1);
	}

	// Guards against a holder that keeps its number when the copy contains its lease,
	// since another daemon may have got the next number after the copy was made.
	@Example
	void ownLeaseInTheCopyGetsANumberOfTheNewEra() {
		LeaseManager holder = manager("one");
		run(Duration.ofSeconds(2), holder);
		InMemoryTableService.Copy copy = this.tables.copy();
		this.tables.restore(copy);
		this.storeEra.observe(1);
		run(Duration.ofMillis(250), holder);
		assertThat(holder.grant().orElseThrow().fencing().era()).isEqualTo(1);
	}

	// Guards against two holders when the store is restored while the holder is paused.
	@Example
	void pausedHolderHasNoGrantAfterAnotherDaemonTookOver() {
		LeaseManager paused = manager("one");
		run(Duration.ofSeconds(2), paused);
		long before = fencing(paused);
		InMemoryTableService.Copy copy = this.tables.copy();
		run(Duration.ofSeconds(2), paused);
		this.tables.restore(copy);
		StoreEra seen = new StoreEra();
		LeaseManager other = new LeaseManager(KEY, new LeaseCandidate("two", TIMES, this.clock, new Random(2)),
				this.tables, seen);
		run(Duration.ofMillis(3750), other);
		assertThat(other.grant()).as("the paused holder may still act").isEmpty();
		run(Duration.ofSeconds(2), other);
		assertThat(fencing(other)).isGreaterThan(before);
		assertThat(paused.grant()).isEmpty();
		run(Duration.ofSeconds(5), paused, other);
		assertThat(paused.grant()).isEmpty();
		assertThat(other.grant()).isPresent();
	}

	// Guards against a grant by a write that was prepared in the era before and happens
	// to expect a version that the new era has assigned to another lease.
	@Example
	void writePreparedInTheEarlierEraGrantsNothingAndReusesNoNumber() {
		LeaseManager late = manager("one");
		run(Duration.ofMillis(250), late);
		InMemoryTableService.Copy copy = this.tables.copy();
		while (version() < 4) {
			run(Duration.ofMillis(250), late);
		}
		this.tables.writeFaults().enqueue(Fault.HOLD);
		while (this.tables.writeFaults().heldCount() == 0) {
			run(Duration.ofMillis(250), late);
		}
		this.tables.restore(copy);
		LeaseManager other = new LeaseManager(KEY, new LeaseCandidate("two", TIMES, this.clock, new Random(2)),
				this.tables);
		while (version() < 4) {
			run(Duration.ofMillis(250), other);
		}
		long granted = fencing(other);
		this.tables.writeFaults().release();
		assertThat(version()).as("the late write has overwritten the lease").isEqualTo(5);
		assertThat(late.grant()).isEmpty();
		run(Duration.ofMillis(250), late);
		assertThat(fencing(late)).isGreaterThan(granted);
	}

	private long version() {
		return this.tables.row(LeaseManager.TABLE, KEY).version();
	}

	// Guards against a number above the version of its era, with which a daemon could
	// exclude all others, and against rows of a later era than the response.
	@Example
	void impossibleNumbersCountAsUnreadable() {
		this.tables.restore(this.tables.copy());
		for (long number : List.of((1L << 32) + 9, 2L << 32, (2L << 32) + 1, 1L << 32, -1L)) {
			this.tables.commit(List.of(new RowOperation.Put(LeaseManager.TABLE, KEY, null,
					"{\"holder\":\"x\",\"fencing\":" + number + "}")));
			LeaseManager manager = manager("one" + number);
			manager.tick(true);
			assertThat(manager.grant()).as("%d", number).isPresent();
			assertThat(fencing(manager)).isEqualTo((1L << 32) + version());
		}
	}

	// Guards against numbers that two daemons got, or that do not rise, under restores
	// from any earlier copy, pauses and lost or late writes.
	@Property(tries = 500, seed = "77")
	void numbersAreAssignedOnceAndRise(@ForAll long seed) {
		// Fields are shared by all tries of a property.
		new RestoredLeaseTests().checkNumbers(new Random(seed));
	}

	private void checkNumbers(Random random) {
		List<InMemoryTableService.Copy> copies = new ArrayList<>(List.of(this.tables.copy()));
		Map<Long, String> holders = new HashMap<>();
		long highest = 0;
		LeaseManager[] managers = { manager("one"), manager("two") };
		this.tables.restore(copies.get(0));
		long era = 1;
		for (int i = 0; i < 200; i++) {
			this.clock.advance(Duration.ofMillis(250));
			switch (random.nextInt(12)) {
				case 0 -> copies.add(this.tables.copy());
				case 1 -> {
					this.tables.restore(copies.get(random.nextInt(copies.size())));
					era++;
				}
				case 2 -> this.storeEra.observe(era);
				case 3 -> this.tables.writeFaults().enqueue(Fault.values()[random.nextInt(Fault.values().length)]);
				case 4 -> this.tables.writeFaults().release();
				case 5 -> this.tables.writeFaults().deliverLate();
				case 6 -> this.clock.advance(Duration.ofSeconds(random.nextInt(6)));
				default -> managers[random.nextInt(2)].tick(random.nextInt(20) > 0);
			}
			for (int m = 0; m < managers.length; m++) {
				if (managers[m].grant().isPresent()) {
					long number = fencing(managers[m]);
					String holder = "daemon " + m;
					if (!holders.containsKey(number)) {
						assertThat(number).isGreaterThan(highest);
						highest = number;
					}
					assertThat(holders.computeIfAbsent(number, (key) -> holder)).isEqualTo(holder);
				}
			}
		}
		this.tables.writeFaults().clear();
		this.tables.writeFaults().release();
		run(Duration.ofSeconds(10), managers);
		long latest = era;
		assertThat(managers).as("a lease is held again after the faults")
			.anyMatch((manager) -> manager.grant().filter((grant) -> grant.fencing().era() == latest).isPresent());
	}

}
