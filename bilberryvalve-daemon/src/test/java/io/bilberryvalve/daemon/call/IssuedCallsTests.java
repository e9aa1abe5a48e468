package io.bilberryvalve.daemon.call;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.daemon.peer.SimulatedNetwork;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.OperationId;
import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.once.IssuedKeys;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that calls with the same issued key are dispatched once even if they are sent to
 * different entries, and that the outcome is reported as unknown, not as "not run", if
 * the issuer cannot be reached.
 */
class IssuedCallsTests {

	private static final ClubId CLUB = new ClubId("pavio");

	private static final ApplicationId ORDERS = new ApplicationId("orders");

	private final ManualClock clock = new ManualClock();

	private final SimulatedNetwork network = new SimulatedNetwork();

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private ApplicationClient.Reply reply = new ApplicationClient.Reply.Answered(
			new CallResult(201, "text/plain", "placed".getBytes(StandardCharsets.UTF_8)));

	private int sent;

	private final IssuedKeyCallService issuer = entry(0, 1);

	private final IssuedKeyCallService other = entry(1, 1);

	private IssuedKeyCallService entry(int index, long incarnation) {
		VmId vm = new VmId("vm-" + index);
		CallDispatcher dispatcher = new CallDispatcher(new RunnerRotation(this.configuration, this.clock),
				(runner, call, timeout) -> {
					this.sent++;
					return CompletableFuture.completedFuture(this.reply);
				}, new RetryAllowance() {

					@Override
					public void recordAttempt() {
					}

					@Override
					public boolean tryRetry() {
						return true;
					}

				}, this.clock);
		return new IssuedKeyCallService(vm, new IssuedKeys(vm, incarnation, this.clock, () -> 7, 100), dispatcher,
				this.network.join(index), this.clock);
	}

	IssuedCallsTests() {
		FederationPart part = new FederationPart(List.of(), List.of(), List.of(), List.of(), List.of(), List.of(),
				List.of(runner("a-1"), runner("a-2")));
		this.configuration.setIfNewer(new FederationConfiguration(1, part, Map.of()));
	}

	private static ApplicationRunner runner(String id) {
		return new ApplicationRunner(new RunnerId(id), new Address("127.0.0.1", 9101), new DataCentreId("dc-1"), ORDERS,
				false);
	}

	@Example
	void runsOnceWhicheverEntryReceivesTheCall() {
		String key = this.issuer.issueKey(CLUB).orElseThrow();
		CallReply first = ok(call(this.other, key, "a"));
		CallReply second = ok(call(this.issuer, key, "a"));
		assertThat(first.result().body()).isEqualTo(second.result().body());
		assertThat(List.of(first.repeated(), second.repeated())).containsExactly(false, true);
		assertThat(this.sent).isOne();
		assertThat(problem(call(this.other, key, "b")).outcome()).isEqualTo(Outcome.NOT_RUN);
	}

	@Example
	void reportsUnknownWhenTheIssuerIsLostOrRestarted() {
		String key = this.issuer.issueKey(CLUB).orElseThrow();
		this.network.isolate(0);
		assertThat(problem(call(this.other, key, "a")).outcome()).isEqualTo(Outcome.UNKNOWN);
		this.network.reconnectAll();
		entry(0, 2);
		assertThat(problem(call(this.other, key, "a")).outcome()).isEqualTo(Outcome.UNKNOWN);
		assertThat(this.sent).isZero();
	}

	@Example
	void doesNotSendAgainAfterLostAnswer() {
		String key = this.issuer.issueKey(CLUB).orElseThrow();
		this.reply = new ApplicationClient.Reply.Lost("silent");
		assertThat(problem(call(this.other, key, "a")).outcome()).isEqualTo(Outcome.UNKNOWN);
		assertThat(problem(call(this.issuer, key, "a")).outcome()).isEqualTo(Outcome.UNKNOWN);
		assertThat(this.sent).isOne();
	}

	@Example
	void triesNextRunnerAfterRefusedConnectionOnly() {
		String key = this.issuer.issueKey(CLUB).orElseThrow();
		this.reply = new ApplicationClient.Reply.NotSent("refused");
		assertThat(problem(call(this.issuer, key, "a")).outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(this.sent).isEqualTo(2);
		this.reply = new ApplicationClient.Reply.Lost("silent");
		assertThat(problem(call(this.issuer, key, "a")).outcome()).isEqualTo(Outcome.UNKNOWN);
		assertThat(this.sent).isEqualTo(3);
	}

	private Result<CallReply> call(IssuedKeyCallService entry, String key, String body) {
		ApplicationCall call = new ApplicationCall(CLUB, ORDERS, new OperationId("place"), "text/plain",
				body.getBytes(StandardCharsets.UTF_8), key);
		VmId vm = IssuedKeys.issuer(key).orElseThrow();
		return entry.call(vm, key, call, this.clock.instant().plus(Duration.ofSeconds(5))).toCompletableFuture().join();
	}

	private static CallReply ok(Result<CallReply> result) {
		return ((Result.Ok<CallReply>) result).value();
	}

	private static Problem problem(Result<CallReply> result) {
		return ((Result.Failed<CallReply>) result).problem();
	}

}
