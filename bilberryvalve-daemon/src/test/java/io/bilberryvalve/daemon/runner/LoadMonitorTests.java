package io.bilberryvalve.daemon.runner;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.daemon.engine.CacheEvents;
import io.bilberryvalve.daemon.engine.EngineClient;
import io.bilberryvalve.daemon.engine.EngineListener;
import io.bilberryvalve.daemon.engine.EngineStream;
import io.bilberryvalve.daemon.engine.StreamRequest;
import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.choice.EstimatedLoadChooser;
import io.bilberryvalve.policy.choice.LoadReport;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class LoadMonitorTests {

	private static final ModelVersion MODEL = new ModelVersion(new ModelId("m"), "1");

	private final ManualClock clock = new ManualClock();

	private final SlowEngine engine = new SlowEngine();

	private LoadMonitor monitor() {
		Runner runner = new Runner(new RunnerId("r1"), new Address("127.0.0.1", 1), new DataCentreId("dc"),
				new AcceleratorKind("a"), MODEL, new LayerRange(0, 8), true, null);
		FederationPart part = new FederationPart(List.of(), List.of(),
				List.of(new FederationPart.ModelSpec(MODEL, 8, 1000, 1000, List.of())),
				List.of(new FederationPart.AcceleratorSpec(new AcceleratorKind("a"), 400, 4000)), List.of(),
				List.of(runner), List.of());
		ConfigurationHolder configuration = new ConfigurationHolder();
		configuration.setIfNewer(new FederationConfiguration(1, part, Map.of()));
		RunnerFleet fleet = new RunnerFleet(this.clock, configuration, new EstimatedLoadChooser(2), (id) -> false);
		return new LoadMonitor(fleet, this.engine, configuration, this.clock, new Random(5),
				LoadMonitorSettings.defaults());
	}

	// Guards against cache events that are read again, because the answer to an earlier
	// poll arrives after that to a later one.
	@Example
	void lateAnswerDoesNotSetThePositionBack() {
		LoadMonitor monitor = monitor();
		long next = 10;
		for (int i = 0; i < 60; i++) {
			monitor.tick();
			if (i % 12 == 11) {
				this.engine.answerAll(next);
				next += 10;
			}
			this.clock.advance(Duration.ofMillis(500));
		}
		assertThat(this.engine.positions).hasSizeGreaterThan(3).isSorted();
		assertThat(this.engine.positions.get(this.engine.positions.size() - 1)).isGreaterThan(20);
	}

	/** Engine that answers polls of cache events late, the latest one first. */
	private static final class SlowEngine implements EngineClient {

		private final List<Long> positions = new ArrayList<>();

		private final Deque<CompletableFuture<Result<CacheEvents>>> polls = new ArrayDeque<>();

		void answerAll(long nextSequence) {
			long next = nextSequence;
			for (int i = this.polls.size(); i > 0; i--) {
				this.polls.removeLast().complete(Result.ok(new CacheEvents(List.of(), next)));
				next -= 20;
			}
		}

		@Override
		public CompletionStage<Result<CacheEvents>> fetchCacheEvents(Address address, long after) {
			this.positions.add(after);
			this.polls.addLast(new CompletableFuture<>());
			return this.polls.getLast();
		}

		@Override
		public CompletionStage<Result<LoadReport>> fetchLoad(Address address) {
			return CompletableFuture
				.completedFuture(Result.failed(Problem.unknown(ProblemKind.RUNNER_FAILED, "no report", "none")));
		}

		@Override
		public EngineStream openStream(StreamRequest request, BooleanSupplier gate, EngineListener listener) {
			throw new UnsupportedOperationException();
		}

		@Override
		public EngineStream resumeStream(Address address, RequestId stream, int from, ClubId club,
				EngineListener listener) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletionStage<Boolean> cancelStream(Address address, RequestId stream, int epoch) {
			throw new UnsupportedOperationException();
		}

		@Override
		public CompletionStage<Boolean> pullKvCache(Address target, RequestId stream, Address source, int epoch) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void reconnect(Address address) {
			throw new UnsupportedOperationException();
		}

	}

}
