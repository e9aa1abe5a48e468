package io.bilberryvalve.policy.share;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class CostPredictorTests {

	private static final TeamKey TEAM = new TeamKey(new ClubId("a"), new TeamId("t"));

	private final CostPredictor predictor = new CostPredictor();

	// Guards against the rejection of teams that declare a large maximum output and use
	// little of it.
	@Example
	void learnsFromCompletedRequestsOfTeam() {
		assertThat(this.predictor.predict(TEAM, 1000)).isEqualTo(1000);
		for (int i = 0; i < 100; i++) {
			this.predictor.observe(TEAM, 1000, 200);
		}
		assertThat(this.predictor.predict(TEAM, 1000)).isBetween(199, 205);
		assertThat(this.predictor.predict(new TeamKey(new ClubId("b"), new TeamId("t")), 1000)).isEqualTo(1000);
	}

	@Example
	void singleExtremeRequestHasBoundedEffect() {
		this.predictor.observe(TEAM, 1, 1_000_000);
		assertThat(this.predictor.predict(TEAM, 100)).isLessThanOrEqualTo(130);
		assertThat(this.predictor.predict(TEAM, 0)).isEqualTo(1);
	}

}
