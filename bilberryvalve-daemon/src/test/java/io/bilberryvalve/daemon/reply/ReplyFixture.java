package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.config.FederationPart.AcceleratorSpec;
import io.bilberryvalve.config.FederationPart.ModelSpec;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.daemon.http.Principal;
import io.bilberryvalve.daemon.runner.RunnerFleet;
import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.CallerId;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.PipelineId;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.chain.PlanKey;
import io.bilberryvalve.policy.choice.EstimatedLoadChooser;

/**
 * Services for replies of a model with 8 layers on four runners: r1 and r2 hold the first
 * half of the layers, r3 and r4 the second half.
 */
final class ReplyFixture {

	static final ModelVersion MODEL = new ModelVersion(new ModelId("m"), "1");

	static final VmId SELF = new VmId("pav-1");

	static final ClubId CLUB = new ClubId("pavio");

	static final Principal.Caller CALLER = new Principal.Caller(CLUB, new TeamId("shops"), new CallerId("shop-1"));

	final ManualClock clock = new ManualClock();

	final FakeEngines engines = new FakeEngines();

	final ConfigurationHolder configuration = new ConfigurationHolder();

	final RunnerFleet fleet = new RunnerFleet(this.clock, this.configuration, new EstimatedLoadChooser(2),
			(runner) -> false);

	final List<Integer> released = new ArrayList<>();

	CompletionStage<Result<ReplyLog>> opening = new CompletableFuture<>();

	final ReplyServices services;

	final ReplyRegistry registry;

	ReplyFixture() {
		this.configuration.setIfNewer(configuration());
		this.fleet.replan();
		this.services = new ReplyServices(this.clock, this.engines, this.fleet,
				(request) -> CompletableFuture.completedFuture(Result.ok(this.released::add)),
				new FractionRepairBudget(0.1, 100), ReplySettings.defaults());
		this.registry = new ReplyRegistry(this.clock, this.services.settings());
	}

	static FederationConfiguration configuration() {
		return configuration(1, List.of(runner(1, 0, 4), runner(2, 0, 4), runner(3, 4, 8), runner(4, 4, 8)));
	}

	static FederationConfiguration configuration(long version, List<Runner> runners) {
		FederationPart part = new FederationPart(List.of(), List.of(),
				List.of(new ModelSpec(MODEL, 8, 1000, 1000, List.of())),
				List.of(new AcceleratorSpec(new AcceleratorKind("a"), 400, 4000)), List.of(), runners, List.of());
		ClubPart club = new ClubPart(CLUB, List.of(), List.of(), List.of(),
				List.of(new ClubPart.Pipeline(new PipelineId("notes"), MODEL, null, List.of(CALLER.caller()), 100)),
				List.of());
		return new FederationConfiguration(version, part, Map.of(CLUB, club));
	}

	static Runner runner(int number, int first, int end) {
		return new Runner(new RunnerId("r" + number), address(number), new DataCentreId("dc"), new AcceleratorKind("a"),
				MODEL, new LayerRange(first, end), true, null);
	}

	static Address address(int number) {
		return new Address("127.0.0.1", number);
	}

	ReplySession newSession(int maxTokens) {
		ReplyRequest request = new ReplyRequest(new RequestId(SELF, 1, this.registry.retainedCount()), CALLER,
				new PlanKey(MODEL, null), 8, "a prompt", maxTokens, 0,
				this.clock.instant().plus(Duration.ofSeconds(30)));
		ReplySession session = new ReplySession(request, this.services, this.registry);
		this.registry.add(session);
		return session;
	}

	ReplySession startedSession(int maxTokens) {
		ReplySession session = newSession(maxTokens);
		session.onReaderAttached();
		this.opening = session.start(this.released::add);
		return session;
	}

	void advance(long millis) {
		this.clock.advance(Duration.ofMillis(millis));
		this.registry.tick();
	}

}
