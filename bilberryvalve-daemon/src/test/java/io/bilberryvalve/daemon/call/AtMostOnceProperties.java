package io.bilberryvalve.daemon.call;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.platform.memory.Fault;
import io.bilberryvalve.policy.once.ExecutionAnswer;
import io.bilberryvalve.policy.once.ExecutionLimits;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks under random sequences of faults that the call of a key is executed at most
 * once, that no executed call is reported as not run, that each call is answered and that
 * a key can be used again after "not run".
 */
class AtMostOnceProperties {

	private static final int ENTRIES = 3;

	@Property(seed = "5501", tries = 3000)
	void runsAtMostOnceUnderFaults(@ForAll("steps") List<Step> steps) {
		CallSimulation simulation = new CallSimulation(ENTRIES,
				ExecutionLimits.defaults().withBatchSize(3).withCommitInterval(Duration.ofMillis(5)));
		for (Step step : steps) {
			apply(simulation, step);
			assertThat(simulation.history().violation()).isNull();
		}
		simulation.settle();
		assertThat(simulation.history().violation()).isNull();
		simulation.answers.clear();
		simulation.call(0, "fresh", "a");
		simulation.settle();
		assertThat(simulation.answers).singleElement().isInstanceOf(ExecutionAnswer.Completed.class);
	}

	@Property(seed = "5502", tries = 1000)
	void answersEachCallOfLivingEntry(@ForAll("steps") List<Step> steps) {
		CallSimulation simulation = new CallSimulation(ENTRIES,
				ExecutionLimits.defaults().withCommitInterval(Duration.ZERO));
		steps.stream().filter((step) -> step.kind() != Kind.KILL).forEach((step) -> apply(simulation, step));
		simulation.settle();
		assertThat(simulation.history().calls()).allMatch(simulation.history()::isAnswered);
		assertThat(simulation.history().violation()).isNull();
		Map<String, String> free = simulation.history().keysNotRun();
		simulation.answers.clear();
		free.forEach((key, body) -> simulation.call(1, key, body));
		simulation.settle();
		assertThat(simulation.answers).hasSize(free.size()).allMatch(ExecutionAnswer.Completed.class::isInstance);
	}

	private static void apply(CallSimulation simulation, Step step) {
		int entry = step.a() % ENTRIES;
		switch (step.kind()) {
			case CALL -> simulation.call(entry, "k" + step.b() % 4, (step.b() % 7 == 0) ? "other" : "a");
			case WRITE_FAULT -> simulation.writeFaults(Fault.values()[step.a() % Fault.values().length]);
			case READ_FAULT -> simulation.readFaults(Fault.values()[step.a() % Fault.values().length]);
			case OUTAGE -> simulation.tables().writeFaults().setDefault(Fault.OUTAGE);
			case RECOVERY -> simulation.tables().writeFaults().clear();
			case RELEASE -> {
				simulation.tables().writeFaults().release();
				simulation.tables().readFaults().release();
			}
			case LATE -> simulation.tables().writeFaults().deliverLate();
			case UPSTREAM -> upstream(simulation, step.b() % 4);
			case ADVANCE -> simulation.advance(Duration.ofMillis(1L << step.b() % 12));
			case KILL -> simulation.kill(entry);
			case PAUSE -> simulation.pause(entry);
			case RESUME -> simulation.resume(entry);
			default -> throw new IllegalStateException("no action for " + step);
		}
	}

	private static void upstream(CallSimulation simulation, int behaviour) {
		if (simulation.dispatchedCalls() == 0) {
			return;
		}
		switch (behaviour) {
			case 0 -> simulation.reply();
			case 1 -> simulation.executeAndLose();
			case 2 -> simulation.loseThenExecute();
			default -> simulation.refuse();
		}
	}

	@Provide
	Arbitrary<List<Step>> steps() {
		Arbitrary<Kind> kinds = Arbitraries.frequency(Tuple.of(6, Kind.CALL), Tuple.of(3, Kind.WRITE_FAULT),
				Tuple.of(1, Kind.READ_FAULT), Tuple.of(1, Kind.OUTAGE), Tuple.of(1, Kind.RECOVERY),
				Tuple.of(2, Kind.RELEASE), Tuple.of(2, Kind.LATE), Tuple.of(5, Kind.UPSTREAM),
				Tuple.of(4, Kind.ADVANCE), Tuple.of(1, Kind.KILL), Tuple.of(1, Kind.PAUSE), Tuple.of(1, Kind.RESUME));
		Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 1000);
		return Combinators.combine(kinds, numbers, numbers).as(Step::new).list().ofMinSize(1).ofMaxSize(40);
	}

	private enum Kind {

		CALL, WRITE_FAULT, READ_FAULT, OUTAGE, RECOVERY, RELEASE, LATE, UPSTREAM, ADVANCE, KILL, PAUSE, RESUME

	}

	private record Step(Kind kind, int a, int b) {

	}

}
