package io.bilberryvalve.daemon.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.OperationId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against idempotent calls that are given up although their runner, silent for a
 * second, would have answered before the deadline.
 */
class SilentApplicationTests {

	private static final ApplicationId ORDERS = new ApplicationId("orders");

	private static final ApplicationCall CALL = new ApplicationCall(new ClubId("pavio"), ORDERS,
			new OperationId("stock"), "text/plain", new byte[0], null);

	private static final Duration SILENCE = Duration.ofMillis(1200);

	private final ManualClock clock = new ManualClock();

	private final List<RunnerId> used = new ArrayList<>();

	@Example
	void silentRunnerIsAwaitedWhenNoRetryIsAllowed() {
		CompletionStage<ApplicationClient.Reply> reply = dispatcher(false).dispatchIdempotent(CALL,
				this.clock.instant().plusSeconds(2));
		assertThat(reply.toCompletableFuture())
			.isCompletedWithValueMatching(ApplicationClient.Reply.Answered.class::isInstance);
		assertThat(this.used).hasSize(1);
	}

	private CallDispatcher dispatcher(boolean retriesAllowed) {
		ConfigurationHolder configuration = new ConfigurationHolder();
		FederationPart part = new FederationPart(List.of(), List.of(), List.of(), List.of(), List.of(), List.of(),
				List.of(runner("a"), runner("b")));
		configuration.setIfNewer(new FederationConfiguration(1, part, Map.of()));
		return new CallDispatcher(new RunnerRotation(configuration, this.clock), this::send, new RetryAllowance() {

			@Override
			public void recordAttempt() {
			}

			@Override
			public boolean tryRetry() {
				return retriesAllowed;
			}

		}, this.clock);
	}

	// Answers after the silence, unless the time limit of the attempt ends before.
	private CompletionStage<ApplicationClient.Reply> send(ApplicationRunner runner, ApplicationCall call,
			Duration timeout) {
		this.used.add(runner.id());
		boolean answers = timeout.compareTo(SILENCE) >= 0;
		this.clock.advance(answers ? SILENCE : timeout);
		return CompletableFuture.completedFuture(
				answers ? new ApplicationClient.Reply.Answered(new CallResult(200, "text/plain", new byte[0]))
						: new ApplicationClient.Reply.Lost("silent"));
	}

	private static ApplicationRunner runner(String id) {
		return new ApplicationRunner(new RunnerId(id), new Address("127.0.0.1", 9101), new DataCentreId("dc-1"), ORDERS,
				false);
	}

}
