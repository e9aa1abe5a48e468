package io.bilberryvalve.bench;

import java.util.List;

/**
 * All experiments.
 */
final class Experiments {

	private Experiments() {
	}

	static List<Experiment> all() {
		return List.of(new DecisionTime(), new Throughput(), new Recovery(), new Rolling(), new Overhead(),
				new Control(), new ConfigurationSize(),
				new NotMeasured("quiet_club_ttft_ratio",
						"only its bound of 1.2 is checked, by FairAdmissionProperties"),
				new NotMeasured("fairness_jain", "only its bound of 0.99 is checked, by FairAdmissionProperties"),
				new NotMeasured("recovery_to_95_percent",
						"the loss of a VM of a small federation is not run under load"),
				new NotMeasured("recovery_runner_leave", "a leaving runner is not run with whole processes"),
				new NotMeasured("allocations_per_token", "there is no JMH benchmark of the request path"));
	}

}
