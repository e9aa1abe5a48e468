package io.bilberryvalve.daemon.order;

import java.time.Duration;
import java.util.List;

import io.bilberryvalve.platform.memory.Fault;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks under random sequences of faults that at most one daemon acts as lease holder at
 * a time, that each fencing number is granted once and that no engine executes an old
 * order after a newer one.
 */
class LeaseProperties {

	private static final int DAEMONS = 2;

	@Property(seed = "5801", tries = 2000)
	void onlyOneHolderActs(@ForAll("steps") List<Step> steps) {
		LeaseSimulation simulation = new LeaseSimulation(DAEMONS);
		for (Step step : steps) {
			apply(simulation, step);
			assertThat(simulation.history.violation()).isNull();
		}
		simulation.tables.writeFaults().clear();
		simulation.tables.readFaults().clear();
		simulation.tables.writeFaults().release();
		simulation.tables.readFaults().release();
		simulation.compete(0, true);
		simulation.actions = 0;
		pass(simulation, 120, 1);
		assertThat(simulation.history.violation()).isNull();
		assertThat(simulation.actions).as("a lease is held again after the faults").isPositive();
	}

	@Example
	void writeRateDependsOnLeasesOnly() {
		LeaseSimulation simulation = new LeaseSimulation(DAEMONS);
		pass(simulation, 600, 1);
		// A lease is renewed every 5 s on average, so 600 s need 120 writes.
		assertThat(simulation.tables.writeCount()).isBetween(100L, 140L);
	}

	private static void apply(LeaseSimulation simulation, Step step) {
		int daemon = step.a() % DAEMONS;
		Fault fault = Fault.values()[step.b() % Fault.values().length];
		switch (step.kind()) {
			case PASS -> pass(simulation, step.b() % 20, step.a() % 11);
			case PAUSE -> simulation.pause(daemon, Duration.ofSeconds(step.b() % 60));
			case WRITE_FAULT -> simulation.tables.writeFaults().enqueue(fault, fault);
			case READ_FAULT -> simulation.tables.readFaults().enqueue(fault);
			case OUTAGE -> simulation.tables.writeFaults().setDefault(Fault.OUTAGE);
			case RECOVERY -> simulation.tables.writeFaults().clear();
			case LATE -> {
				simulation.tables.writeFaults().release();
				simulation.tables.readFaults().release();
				simulation.tables.writeFaults().deliverLate();
			}
			case RESTART -> simulation.restart(daemon);
			case WITHDRAW -> simulation.compete(daemon, false);
			default -> simulation.compete(daemon, true);
		}
	}

	private static void pass(LeaseSimulation simulation, int seconds, int delay) {
		for (int i = 0; i < seconds * 2; i++) {
			simulation.advance(Duration.ofMillis(500), Duration.ofSeconds(Math.min(delay, 10)));
		}
	}

	@Provide
	Arbitrary<List<Step>> steps() {
		Arbitrary<Kind> kinds = Arbitraries.frequency(Tuple.of(8, Kind.PASS), Tuple.of(3, Kind.PAUSE),
				Tuple.of(3, Kind.WRITE_FAULT), Tuple.of(2, Kind.READ_FAULT), Tuple.of(1, Kind.OUTAGE),
				Tuple.of(1, Kind.RECOVERY), Tuple.of(2, Kind.LATE), Tuple.of(1, Kind.RESTART),
				Tuple.of(1, Kind.WITHDRAW), Tuple.of(1, Kind.COMPETE));
		Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 1000);
		return Combinators.combine(kinds, numbers, numbers).as(Step::new).list().ofMinSize(1).ofMaxSize(40);
	}

	private enum Kind {

		PASS, PAUSE, WRITE_FAULT, READ_FAULT, OUTAGE, RECOVERY, LATE, RESTART, WITHDRAW, COMPETE

	}

	private record Step(Kind kind, int a, int b) {

	}

}
