package io.bilberryvalve.daemon.configuration;

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
 * Checks under random sequences of faults that the active version never decreases, that
 * no accepted version is lost, that no refused submission takes effect and that all
 * daemons reach the newest version.
 */
class RolloutProperties {

	private static final int DAEMONS = 3;

	@Property(seed = "5901", tries = 2000)
	void neverRevertsUnderFaults(@ForAll("steps") List<Step> steps) {
		RolloutSimulation simulation = new RolloutSimulation(DAEMONS);
		for (Step step : steps) {
			apply(simulation, step);
			simulation.observe();
			assertThat(simulation.history.violation()).isNull();
		}
		simulation.settle();
		assertThat(simulation.history.violation()).isNull();
		assertThat(simulation.activeVersions()).allMatch((version) -> version == simulation.storedVersion());
		assertThat(simulation.starts()).allMatch((distance) -> distance >= 0);
	}

	@Example
	void acceptsOneOfTwoOperators() {
		RolloutSimulation simulation = new RolloutSimulation(DAEMONS);
		simulation.tables.readFaults().enqueue(Fault.HOLD, Fault.HOLD);
		simulation.submit(0, "pavio", false);
		simulation.submit(1, "klokhuis", false);
		simulation.tables.readFaults().release();
		simulation.settle();
		assertThat(simulation.storedVersion()).isOne();
		assertThat(simulation.history.violation()).isNull();
	}

	@Example
	void newDaemonTakesVersionOfPeersInStoreOutage() {
		RolloutSimulation simulation = new RolloutSimulation(DAEMONS);
		simulation.submit(0, "pavio", false);
		simulation.tables.readFaults().setDefault(Fault.OUTAGE);
		simulation.objects.readFaults().setDefault(Fault.OUTAGE);
		simulation.restart(2);
		simulation.advance(Duration.ofSeconds(1));
		assertThat(simulation.activeVersions()).containsExactly(1L, 1L, 1L);
	}

	private static void apply(RolloutSimulation simulation, Step step) {
		int daemon = step.a() % DAEMONS;
		Fault fault = Fault.values()[step.b() % Fault.values().length];
		switch (step.kind()) {
			case SUBMIT -> simulation.submit(daemon, "p" + step.b() % 3, step.b() % 5 == 0);
			case REPEAT -> simulation.submit(daemon, "s" + step.b() % 4, "p" + step.b() % 3, false);
			case WRITE_FAULT -> simulation.tables.writeFaults().enqueue(fault, fault);
			case READ_FAULT -> simulation.tables.readFaults().enqueue(fault);
			case OBJECT_FAULT -> simulation.objects.readFaults().enqueue(Fault.OUTAGE, Fault.LOSE_REQUEST);
			case OUTAGE -> simulation.tables.readFaults().setDefault(Fault.OUTAGE);
			case RECOVERY -> simulation.tables.readFaults().clear();
			case RELEASE -> {
				simulation.tables.writeFaults().release();
				simulation.tables.readFaults().release();
			}
			case LATE -> simulation.tables.writeFaults().deliverLate();
			case CUT -> simulation.network.isolate(daemon);
			case HEAL -> simulation.network.reconnectAll();
			case RESTART -> simulation.restart(daemon);
			default -> simulation.advance(Duration.ofMillis(1L << step.b() % 12));
		}
	}

	@Provide
	Arbitrary<List<Step>> steps() {
		Arbitrary<Kind> kinds = Arbitraries.frequency(Tuple.of(6, Kind.SUBMIT), Tuple.of(1, Kind.REPEAT),
				Tuple.of(3, Kind.WRITE_FAULT), Tuple.of(1, Kind.READ_FAULT), Tuple.of(1, Kind.OBJECT_FAULT),
				Tuple.of(1, Kind.OUTAGE), Tuple.of(2, Kind.RECOVERY), Tuple.of(2, Kind.RELEASE), Tuple.of(2, Kind.LATE),
				Tuple.of(1, Kind.CUT), Tuple.of(1, Kind.HEAL), Tuple.of(1, Kind.RESTART), Tuple.of(5, Kind.ADVANCE));
		Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 1000);
		return Combinators.combine(kinds, numbers, numbers).as(Step::new).list().ofMinSize(1).ofMaxSize(40);
	}

	private enum Kind {

		SUBMIT, REPEAT, WRITE_FAULT, READ_FAULT, OBJECT_FAULT, OUTAGE, RECOVERY, RELEASE, LATE, CUT, HEAL, RESTART,
		ADVANCE

	}

	private record Step(Kind kind, int a, int b) {

	}

}
