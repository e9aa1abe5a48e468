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
import io.bilberryvalve.daemon.lifecycle.ManualTimer;
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
 * Checks that a call is not given up while the runner that has it may still answer.
 */
class SilentRunnerTests {

	private static final ApplicationId ORDERS = new ApplicationId("orders");

	private static final ApplicationCall CALL = new ApplicationCall(new ClubId("pavio"), ORDERS,
			new OperationId("stock"), "text/plain", new byte[0], null);

	private static final Duration TIMEOUT = Duration.ofSeconds(4);

	private static final Duration SILENCE = Duration.ofSeconds(2);

	private static final ApplicationClient.Reply LOST = new ApplicationClient.Reply.Lost("closed");

	private static final ApplicationClient.Reply NOT_SENT = new ApplicationClient.Reply.NotSent("refused");

	private static final ApplicationClient.Reply ANSWER = new ApplicationClient.Reply.Answered(
			new CallResult(200, "text/plain", new byte[0]));

	private final ManualClock clock = new ManualClock();

	private final ManualTimer timer = new ManualTimer(this.clock);

	private final List<CompletableFuture<ApplicationClient.Reply>> sent = new ArrayList<>();

	private int allowance = 10;

	private final CallDispatcher dispatcher;

	SilentRunnerTests() {
		ConfigurationHolder configuration = new ConfigurationHolder();
		FederationPart part = new FederationPart(List.of(), List.of(), List.of(), List.of(), List.of(), List.of(),
				List.of(runner("a"), runner("b"), runner("c")));
		configuration.setIfNewer(new FederationConfiguration(1, part, Map.of()));
		this.dispatcher = new CallDispatcher(new RunnerRotation(configuration, this.clock), this::send, new Allowance(),
				this.clock, this.timer);
	}

	// Guards against a lost answer of a runner that was silent while the next one failed.
	@Example
	void returnsTheAnswerOfASilentRunnerIfTheNextOnesFail() {
		CompletionStage<ApplicationClient.Reply> reply = idempotent();
		advance(SILENCE);
		assertThat(this.sent).hasSize(2);
		this.sent.get(1).complete(LOST);
		advance(Duration.ofMillis(500));
		this.sent.get(2).complete(NOT_SENT);
		assertThat(reply.toCompletableFuture()).isNotDone();
		this.sent.get(0).complete(ANSWER);
		assertThat(reply.toCompletableFuture()).isCompletedWithValue(ANSWER);
	}

	// Guards against waiting for a silent runner after another one has answered.
	@Example
	void returnsTheFirstAnswer() {
		CompletionStage<ApplicationClient.Reply> reply = idempotent();
		advance(SILENCE);
		this.sent.get(1).complete(ANSWER);
		assertThat(reply.toCompletableFuture()).isCompletedWithValue(ANSWER);
		this.sent.get(0).complete(LOST);
		advance(TIMEOUT);
		assertThat(this.sent).hasSize(2);
	}

	// Guards against retries beyond the allowance.
	@Example
	void asksNoOtherRunnerWithoutAllowance() {
		this.allowance = 0;
		CompletionStage<ApplicationClient.Reply> reply = idempotent();
		advance(SILENCE);
		assertThat(this.sent).hasSize(1);
		assertThat(reply.toCompletableFuture()).isNotDone();
		advance(SILENCE);
		assertThat(reply.toCompletableFuture().join()).isInstanceOf(ApplicationClient.Reply.Lost.class);
	}

	// Guards against a call without an end if all runners stay silent.
	@Example
	void endsAtTheDeadlineIfAllRunnersStaySilent() {
		CompletionStage<ApplicationClient.Reply> reply = idempotent();
		for (int i = 0; i < 8; i++) {
			assertThat(reply.toCompletableFuture()).isNotDone();
			advance(Duration.ofMillis(500));
		}
		assertThat(reply.toCompletableFuture().join()).isInstanceOf(ApplicationClient.Reply.Lost.class);
		assertThat(this.sent).hasSize(3);
	}

	// Guards against a second execution or an early end of a call that must not be
	// repeated.
	@Example
	void waitsForASilentRunnerUntilTheDeadlineIfTheCallMustNotBeRepeated() {
		CompletionStage<ApplicationClient.Reply> reply = this.dispatcher.dispatchOnce(CALL,
				this.clock.instant().plus(TIMEOUT));
		advance(TIMEOUT.minusMillis(1));
		assertThat(this.sent).hasSize(1);
		assertThat(reply.toCompletableFuture()).isNotDone();
		this.sent.get(0).complete(ANSWER);
		assertThat(reply.toCompletableFuture()).isCompletedWithValue(ANSWER);
	}

	private CompletionStage<ApplicationClient.Reply> idempotent() {
		return this.dispatcher.dispatchIdempotent(CALL, this.clock.instant().plus(TIMEOUT));
	}

	private CompletionStage<ApplicationClient.Reply> send(ApplicationRunner runner, ApplicationCall call,
			Duration timeout) {
		CompletableFuture<ApplicationClient.Reply> reply = new CompletableFuture<>();
		this.sent.add(reply);
		this.timer.schedule(timeout, () -> reply.complete(new ApplicationClient.Reply.Lost("no answer in time")));
		return reply;
	}

	private void advance(Duration time) {
		this.clock.advance(time);
		this.timer.runDue();
	}

	private static ApplicationRunner runner(String id) {
		return new ApplicationRunner(new RunnerId(id), new Address("127.0.0.1", 9101), new DataCentreId("dc-1"), ORDERS,
				false);
	}

	private final class Allowance implements RetryAllowance {

		@Override
		public void recordAttempt() {
		}

		@Override
		public boolean tryRetry() {
			return SilentRunnerTests.this.allowance-- > 0;
		}

	}

}
