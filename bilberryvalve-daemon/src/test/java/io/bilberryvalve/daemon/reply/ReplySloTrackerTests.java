package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ReplySloTrackerTests {

	private final ManualClock clock = new ManualClock();

	private final ReplyLog log = new ReplyLog(0);

	private final List<String> events = new ArrayList<>();

	private final ReplySloTracker tracker = new ReplySloTracker(this.log, new ClubId("pavio"),
			(club, objective, good, bad) -> this.events.add(club + " " + objective.text() + " " + good + "/" + bad),
			this.clock);

	// Guards against an error budget report that stays empty or counts an event twice.
	@Example
	void countsFirstTokenGapsAndEndOnce() {
		this.log.addListener(this.tracker);
		token(1600, 0);
		token(51, 1);
		token(52, 2);
		this.log.complete();
		this.tracker.run();
		assertThat(this.events).containsExactly("pavio first-token 1/0", "pavio token-gap 1/0", "pavio token-gap 0/1",
				"pavio availability 1/0");
	}

	// Guards against faults of the caller that use up the error budget, and faults of the
	// system that do not.
	@Example
	void countsOnlyFaultsOfTheSystemAsBad() {
		this.log.addListener(this.tracker);
		token(1601, 0);
		this.log.fail(Problem.unknown(ProblemKind.RUNNER_FAILED, "failed", "repeat"));
		ReplyLog other = new ReplyLog(0);
		other.addListener(new ReplySloTracker(other, new ClubId("klokhuis"),
				(club, objective, good, bad) -> this.events.add(club + " " + objective.text() + " " + good + "/" + bad),
				this.clock));
		other.fail(Problem.unknown(ProblemKind.UNAVAILABLE, "no reader asked for the reply", "repeat"));
		assertThat(this.events).containsExactly("pavio first-token 0/1", "pavio availability 0/1",
				"klokhuis availability 1/0");
	}

	private void token(long afterMillis, int index) {
		this.clock.advance(Duration.ofMillis(afterMillis));
		this.log.append(new ReplyToken(index, 1, new RunnerId("r1"), "t", null));
	}

}
