package io.bilberryvalve.verification;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the specifications within the scopes that their files state. Each property holds
 * for the rules of the design page and has a counterexample once a rule is removed, which
 * guards against a property that cannot fail; each run guards against rules under which
 * nothing can happen.
 */
class SpecificationTests {

	private static final Specification ONCE = Specification.read("execution");

	private static final Specification ISSUED = Specification.read("issued");

	private static final Specification GATE = Specification.read("gate");

	private static final Specification LEASE = Specification.read("lease");

	private static final Specification ROLLOUT = Specification.read("rollout");

	@Example
	void runsAKeyAtMostOnce() {
		holds(ONCE, "AtMostOnce");
	}

	@Example
	void tellsTheTruthAboutWithdrawnKeys() {
		holds(ONCE, "NotRunIsTrue");
	}

	@Example
	void findsSecondRunsOnceARuleIsRemoved() {
		fails(ONCE, "BrokenByTakeOver");
		fails(ONCE, "BrokenByIgnoredToken");
		fails(ONCE, "BrokenByReleaseAfterDispatch");
		fails(ONCE, "BrokenNotRun");
	}

	@Example
	void resolvesAndRetriesKeys() {
		happens(ONCE, "LostAnswerIsResolved");
		happens(ONCE, "RetryRunsAfterRelease");
	}

	@Example
	void runsAnIssuedKeyAtMostOnceAcrossRestarts() {
		holds(ISSUED, "AtMostOnce");
		holds(ISSUED, "NotRunIsTrue");
		happens(ISSUED, "RunsAfterARepetition");
	}

	@Example
	void findsSecondRunsOfIssuedKeysOnceARuleIsRemoved() {
		fails(ISSUED, "BrokenByOtherIncarnation");
		fails(ISSUED, "BrokenByAbsentKey");
		fails(ISSUED, "BrokenNotRun");
	}

	@Example
	void reportsNotRunOnlyIfNothingRan() {
		holds(GATE, "NotRunIsTrue");
		fails(GATE, "BrokenByCheckThenReport");
		fails(GATE, "BrokenBySilence");
		happens(GATE, "RefusalIsReported");
	}

	@Example
	void ordersReachCheckingEnginesInTheOrderOfLeases() {
		holds(LEASE, "CheckingEnginesObeyInOrder");
	}

	@Example
	void ordersReachIgnoringEnginesInTheOrderOfLeases() {
		holds(LEASE, "IgnoringEnginesObeyInOrder");
		happens(LEASE, "SuccessorActs");
	}

	@Example
	void findsLateOrdersOnceARuleIsRemoved() {
		fails(LEASE, "BrokenWithoutWait");
		fails(LEASE, "BrokenAfterEnd");
	}

	// Records the limits of engines that ignore fencing numbers: no rule of the holder
	// can
	// stop an order that leaves after a long pause or arrives after the order timeout.
	@Example
	void showsTheLimitsOfIgnoringEngines() {
		fails(LEASE, "LimitLongPause");
		fails(LEASE, "LimitLateOrder");
	}

	@Example
	void configurationNeverReverts() {
		holds(ROLLOUT, "NeverReverts");
		happens(ROLLOUT, "StartsInAnOutage");
	}

	// Records a limit: without a store, a version that only a restarted daemon had cannot
	// be known, because VMs have no disks.
	@Example
	void showsTheLimitOfRestartsInAnOutage() {
		fails(ROLLOUT, "LimitRestartInOutage");
	}

	@Example
	void submissionsLoseNoUpdate() {
		holds(ROLLOUT, "NoLostUpdate");
	}

	@Example
	void findsRevertsOnceARuleIsRemoved() {
		fails(ROLLOUT, "BrokenWithoutVersionCheck");
		fails(ROLLOUT, "BrokenByFirstPeer");
		fails(ROLLOUT, "BrokenWithoutBaseCheck");
		fails(ROLLOUT, "BrokenByForgottenSubmission");
	}

	private static void holds(Specification specification, String check) {
		assertThat(specification.hasInstance(check)).as("counterexample of %s", check).isFalse();
	}

	private static void fails(Specification specification, String check) {
		assertThat(specification.hasInstance(check)).as("counterexample of %s", check).isTrue();
	}

	private static void happens(Specification specification, String run) {
		assertThat(specification.hasInstance(run)).as("example of %s", run).isTrue();
	}

}
