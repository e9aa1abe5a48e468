package io.bilberryvalve.daemon.call;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

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
 * Checks that retries stay within the retry allowance and the deadline. A call whose
 * response was lost must be reported as lost even if its retry could not be sent: the
 * first attempt may have been executed.
 */
class CallDispatcherTests {

	private static final ApplicationId ORDERS = new ApplicationId("orders");

	private static final ApplicationCall CALL = new ApplicationCall(new ClubId("pavio"), ORDERS,
			new OperationId("stock"), "text/plain", new byte[0], null);

	private static final ApplicationClient.Reply LOST = new ApplicationClient.Reply.Lost("silent");

	private static final ApplicationClient.Reply NOT_SENT = new ApplicationClient.Reply.NotSent("refused");

	private static final ApplicationClient.Reply ANSWER = new ApplicationClient.Reply.Answered(
			new CallResult(200, "text/plain", new byte[0]));

	private final ManualClock clock = new ManualClock();

	private final Deque<ApplicationClient.Reply> replies = new ArrayDeque<>();

	private final List<RunnerId> used = new ArrayList<>();

	private int allowance = 10;

	private Duration answerTime = Duration.ZERO;

	private final CallDispatcher dispatcher;

	CallDispatcherTests() {
		ConfigurationHolder configuration = new ConfigurationHolder();
		FederationPart part = new FederationPart(List.of(), List.of(), List.of(), List.of(), List.of(), List.of(),
				List.of(runner("a"), runner("b"), runner("c")));
		configuration.setIfNewer(new FederationConfiguration(1, part, Map.of()));
		this.dispatcher = new CallDispatcher(new RunnerRotation(configuration, this.clock), (runner, call, timeout) -> {
			this.used.add(runner.id());
			this.clock.advance(this.answerTime);
			return CompletableFuture.completedFuture(this.replies.remove());
		}, new Allowance(), this.clock);
	}

	@Example
	void retriesIdempotentCallAtNextRunner() {
		assertThat(idempotent(LOST, NOT_SENT, ANSWER)).isEqualTo(ANSWER);
		assertThat(this.used).doesNotHaveDuplicates().hasSize(3);
	}

	@Example
	void keepsLostOutcomeWhenRetryIsNotSent() {
		assertThat(idempotent(LOST, NOT_SENT, NOT_SENT)).isEqualTo(LOST);
	}

	@Example
	void stopsAtBudget() {
		this.allowance = 1;
		assertThat(idempotent(LOST, LOST, ANSWER)).isEqualTo(LOST);
		assertThat(this.used).hasSize(2);
	}

	@Example
	void stopsAtDeadline() {
		this.answerTime = Duration.ofSeconds(3);
		assertThat(idempotent(LOST, LOST, ANSWER)).isEqualTo(LOST);
		assertThat(this.used).hasSize(2);
	}

	@Example
	void pausesRunnerThatRefusedConnectionAndUsesItAgain() {
		idempotent(NOT_SENT, ANSWER);
		RunnerId refused = this.used.get(0);
		this.used.clear();
		for (int i = 0; i < 6; i++) {
			idempotent(ANSWER);
		}
		assertThat(this.used).doesNotContain(refused);
		this.clock.advance(Duration.ofSeconds(1));
		for (int i = 0; i < 3; i++) {
			idempotent(ANSWER);
		}
		assertThat(this.used).contains(refused);
	}

	private ApplicationClient.Reply idempotent(ApplicationClient.Reply... next) {
		this.replies.clear();
		this.replies.addAll(List.of(next));
		return this.dispatcher.dispatchIdempotent(CALL, this.clock.instant().plusSeconds(5))
			.toCompletableFuture()
			.join();
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
			return CallDispatcherTests.this.allowance-- > 0;
		}

	}

}
