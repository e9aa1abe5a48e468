package io.bilberryvalve.policy.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class PartQuarantineTests {

	private final ManualClock clock = new ManualClock();

	private final PartQuarantine quarantine = new PartQuarantine(this.clock);

	private int crashes;

	private static PromptParts prompt(String... parts) {
		return PromptParts.parse(String.join(":10,", parts) + ":10");
	}

	// Each crash is that of another runner, one second after the one before.
	private void crash(PromptParts... prompts) {
		this.clock.advance(Duration.ofSeconds(1));
		RunnerId runner = new RunnerId("r" + this.crashes++);
		for (PromptParts prompt : prompts) {
			this.quarantine.recordCrash(prompt, runner, 1);
		}
	}

	private long held(String... parts) {
		return this.quarantine.heldMillis(prompt(parts));
	}

	// Guards against a part that crashes one runner after the other.
	@Example
	void partOfThreeCrashedPromptsIsHeldAndItsCompanionsAreNot() {
		crash(prompt("common", "bad", "own1"));
		assertThat(held("common", "bad", "own9")).isZero();
		crash(prompt("other", "bad", "own2"));
		assertThat(held("other", "bad", "own9")).isPositive();
		crash(prompt("common", "bad", "own3"));
		this.clock.advance(Duration.ofSeconds(30));
		assertThat(held("third", "bad", "own9")).isPositive();
		assertThat(held("common", "own9")).isZero();
		assertThat(held("other", "own9")).isZero();
	}

	// Guards against a prompt that is blamed because it was repeated, and shares its
	// parts with nothing that crashed.
	@Example
	void repeatsOfOnePromptCountOnce() {
		for (int i = 0; i < 5; i++) {
			crash(prompt("common", "own1"));
		}
		assertThat(held("common", "own2")).isZero();
	}

	// Guards against common parts that are blamed for one crash, because many prompts
	// waited at the runner.
	@Example
	void promptsOfOneCrashCountOnce() {
		crash(prompt("common", "own1"), prompt("common", "own2"), prompt("common", "own3"));
		assertThat(held("common", "own9")).isZero();
	}

	// Guards against common parts that are blamed for a loss of power.
	@Example
	void crashesAtOneMomentCountOnce() {
		for (int i = 0; i < 5; i++) {
			this.quarantine.recordCrash(prompt("common", "own" + i), new RunnerId("r" + i), 1);
			this.clock.advance(Duration.ofMillis(20));
		}
		assertThat(held("common", "own9")).isZero();
	}

	// Guards against sound prompts that lose their service because they share a part with
	// those that crash.
	@Example
	void answerEndsTheSuspicion() {
		crash(prompt("common", "own1"));
		crash(prompt("common", "own2"));
		assertThat(held("common", "own9")).isPositive();
		this.quarantine.recordAnswer(prompt("common", "own3"));
		assertThat(held("common", "own9")).isZero();
		crash(prompt("common", "own4"));
		assertThat(held("common", "own9")).isZero();
	}

	// Guards against a sound part that is held because all crashed prompts had it:
	// prompts
	// without the other part are sent, and their answers decide.
	@Example
	void partsThatFitEquallyAreHeldTogether() {
		for (int i = 0; i < 3; i++) {
			crash(prompt("common", "bad", "own" + i));
		}
		assertThat(held("common", "own9")).isZero();
		assertThat(held("more", "bad", "own9")).isZero();
		assertThat(held("common", "bad", "own9")).isPositive();
		this.quarantine.recordAnswer(prompt("common", "own8"));
		assertThat(held("more", "bad", "own9")).isPositive();
		this.clock.advance(Duration.ofSeconds(50));
		assertThat(held("common", "bad", "own9")).isPositive();
	}

	// Guards against a suspicion that never ends.
	@Example
	void suspicionLapses() {
		for (int i = 0; i < 3; i++) {
			crash(prompt("bad", "own" + i));
		}
		this.clock.advance(Duration.ofSeconds(60));
		assertThat(held("bad", "own9")).isZero();
		this.clock.advance(Duration.ofSeconds(60));
		crash(prompt("bad", "own8"));
		crash(prompt("bad", "own7"));
		assertThat(held("bad", "own9")).isLessThanOrEqualTo(2000);
	}

	// Guards against a part that is no longer held because the memory for its crashes is
	// full.
	@Example
	void latestOfManyCrashesCounts() {
		for (int i = 0; i < 12; i++) {
			crash(prompt("bad", "own" + i));
			this.clock.advance(Duration.ofSeconds(4));
		}
		assertThat(held("bad", "own99")).isGreaterThan(50_000);
	}

	// Guards against requests that return all at once when a hold ends, and crash a
	// runner each.
	@Example
	void fewRequestsAreSentWhenAHoldHasEnded() {
		for (int i = 0; i < 3; i++) {
			crash(prompt("bad", "own" + i));
		}
		this.clock.advance(Duration.ofSeconds(60));
		assertThat(this.quarantine.admit(prompt("bad", "own7"))).isZero();
		assertThat(this.quarantine.admit(prompt("bad", "own8"))).isPositive();
		crash(prompt("bad", "own7"));
		assertThat(held("bad", "own9")).isGreaterThan(50_000);
	}

	// Guards against a part that stays unknown to the requests after an answer.
	@Example
	void requestsFlowAgainAfterAnAnswerToATrial() {
		crash(prompt("sound", "own1"));
		crash(prompt("sound", "own2"));
		this.clock.advance(Duration.ofSeconds(2));
		assertThat(this.quarantine.admit(prompt("sound", "own3"))).isZero();
		this.quarantine.recordAnswer(prompt("sound", "own3"));
		assertThat(this.quarantine.admit(prompt("sound", "own4"))).isZero();
		assertThat(this.quarantine.admit(prompt("sound", "own5"))).isZero();
	}

	// Guards against a last part that holds other requests of its session.
	@Example
	void lastPartIsNeverBlamed() {
		for (int i = 0; i < 3; i++) {
			crash(prompt("own"));
		}
		assertThat(held("own", "x")).isZero();
	}

	// Guards against daemons that each need crashes of their own.
	@Example
	void daemonsThatExchangeReportsDecideAlike() {
		PartQuarantine other = new PartQuarantine(this.clock);
		crash(prompt("common", "bad", "own1"));
		this.clock.advance(Duration.ofSeconds(1));
		other.recordCrash(prompt("more", "bad", "own2"), new RunnerId("x"), 1);
		this.clock.advance(Duration.ofSeconds(1));
		other.recordCrash(prompt("last", "bad", "own3"), new RunnerId("y"), 1);
		other.applyReports(this.quarantine.report());
		this.quarantine.applyReports(other.report());
		assertThat(held("bad", "own9")).isEqualTo(other.heldMillis(prompt("bad", "own9"))).isGreaterThan(50_000);
	}

	// Guards against knowledge that is lost when all daemons restart in turn.
	@Example
	void reportsOfOtherDaemonsArePassedOn() {
		for (int i = 0; i < 3; i++) {
			crash(prompt("bad", "own" + i));
		}
		PartQuarantine second = new PartQuarantine(this.clock);
		second.applyReports(this.quarantine.report());
		PartQuarantine third = new PartQuarantine(this.clock);
		third.applyReports(second.report());
		assertThat(third.heldMillis(prompt("bad", "own9"))).isEqualTo(held("bad", "own9"));
	}

	// Guards against a bad part that is crowded out of the reports, or forgotten, because
	// many sound parts were at the same runners and are answered all the time.
	@Example
	void reportsNameTheMostSuspectPartFirst() {
		crash(prompt("bad", "own1"));
		crash(IntStream.range(0, 300).mapToObj((i) -> prompt("sound" + i, "own" + i)).toArray(PromptParts[]::new));
		crash(prompt("bad", "own2"));
		for (int i = 0; i < 300; i++) {
			this.quarantine.recordAnswer(prompt("sound" + i, "more" + i));
		}
		assertThat(this.quarantine.report().get(0).part()).isEqualTo("bad");
		this.clock.advance(Duration.ofSeconds(3));
		assertThat(this.quarantine.report()).extracting(PartReport::part).containsExactly("bad");
	}

	// Guards against states that are lost on the network because they are large.
	@Example
	void reportsOfManyCrashesStaySmall() {
		for (int i = 0; i < 10; i++) {
			int number = i;
			crash(IntStream.range(0, 40)
				.mapToObj((k) -> prompt("sound" + k, "bad", "own" + number + "-" + k))
				.toArray(PromptParts[]::new));
		}
		assertThat(this.quarantine.report().stream().mapToInt((part) -> part.crashes().size()).sum())
			.isLessThanOrEqualTo(24);
	}

	// Guards against evidence that daemons keep alive by reminding each other of it.
	@Example
	void exchangedEvidenceIsForgotten() {
		for (int i = 0; i < 3; i++) {
			crash(prompt("bad", "own" + i));
		}
		PartQuarantine other = new PartQuarantine(this.clock);
		for (int i = 0; i < 140_000; i += 150) {
			List<PartReport> report = this.quarantine.report();
			this.clock.advance(Duration.ofMillis(5));
			other.applyReports(report);
			List<PartReport> answer = other.report();
			this.clock.advance(Duration.ofMillis(145));
			this.quarantine.applyReports(answer);
		}
		assertThat(this.quarantine.report()).isEmpty();
		assertThat(other.report()).isEmpty();
	}

	// Guards against memory that grows with the parts of prompts.
	@Example
	void memoryIsBounded() {
		crash(IntStream.range(0, 2000)
			.mapToObj((i) -> prompt("part" + i, "more" + i, "own" + i))
			.toArray(PromptParts[]::new));
		List<PartReport> report = this.quarantine.report();
		assertThat(report.stream().mapToInt((part) -> part.crashes().size()).sum()).isBetween(1, 24);
		String longName = "x".repeat(10_000);
		assertThat(PromptParts.parse(longName + ":1,own:1").shared()).allMatch((part) -> part.length() <= 64);
		assertThat(PromptParts.parse("a:1,".repeat(5) + "b:1,own:1").shared()).containsExactlyInAnyOrder("a", "b");
	}

}
