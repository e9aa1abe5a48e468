package io.bilberryvalve.gateway.relay;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.quarantine.PartQuarantine;
import io.bilberryvalve.policy.retry.RetryBudget;
import io.bilberryvalve.policy.silence.RunnerSilence;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class RunnerAttemptTests {

	private static final DataCentreId HERE = new DataCentreId("a");

	private static final ListedRunner RUNNER = new ListedRunner(new RunnerId("engine"), new Address("127.0.0.1", 1001),
			"model", HERE, 4, false, "card", new LayerRange(0, 4), 1, 0);

	private final ManualClock clock = new ManualClock();

	private final RelayContext context = new RelayContext(RelayFixture.HEADER_NAMES, HERE, this.clock,
			new FleetRegistry(this.clock), new LoadTracker(this.clock), new RunnerAvailability(this.clock),
			new PartQuarantine(this.clock), new RetryBudget(this.clock),
			(runner) -> CompletableFuture.completedFuture(new StallProbe.ProbeResult(true, List.of())), (loop) -> {
				throw new IllegalStateException("nothing is sent");
			});

	// Guards against a runner that is blamed for the silence of a caller that does not
	// read.
	@Example
	void pauseOfTheCallerIsNoSilenceOfTheRunner() {
		EventLoop loop = new DefaultEventLoop();
		try {
			ReservationQueue queue = this.context.reservationQueue(new Service("app", null));
			Reservation reservation = new Reservation(List.of(RUNNER),
					new LayerPath(List.of(new LayerPath.Hop(RUNNER.id(), new LayerRange(0, 4))), 100, 10),
					new RequestSize(10, 10));
			RunnerAttempt attempt = new RunnerAttempt(this.context, loop, queue, reservation, null, new Unused());
			attempt.eventReceived();
			attempt.setPaused(true);
			assertThat(this.context.progressTracker().silences(List.of(RUNNER.id()))).extracting(RunnerSilence::streams)
				.containsExactly(0);
			this.clock.advance(Duration.ofSeconds(3));
			attempt.setPaused(false);
			assertThat(attempt.silenceMillis()).isZero();
		}
		finally {
			loop.shutdownGracefully();
		}
	}

	// Guards against a refusal that has no effect on the choice of the next runner.
	@Example
	void refusalOfTheRunnerIsRecorded() {
		EventLoop loop = new DefaultEventLoop();
		try {
			ReservationQueue queue = this.context.reservationQueue(new Service("app", null));
			Reservation reservation = new Reservation(List.of(RUNNER), null, new RequestSize(10, 10));
			RunnerAttempt attempt = new RunnerAttempt(this.context, loop, queue, reservation, null, new Unused());
			DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.SERVICE_UNAVAILABLE);
			head.headers().set(RelayFixture.HEADER_NAMES.notRun(), "1");
			attempt.onHead(head);
			attempt.onEnd();
			assertThat(this.context.runnerAvailability().refusals().isRecent(RUNNER.id())).isTrue();
			assertThat(this.context.metrics().toPrometheusText()).contains("bilberryvalve_runners_refusing 1");
			this.clock.advance(Duration.ofMillis(250));
			assertThat(this.context.runnerAvailability().refusals().isRecent(RUNNER.id())).isFalse();
		}
		finally {
			loop.shutdownGracefully();
		}
	}

	/** Ignores the events of an attempt. */
	private static final class Unused implements RunnerAttempt.Listener {

		@Override
		public boolean isReplaceable(RunnerAttempt attempt) {
			return false;
		}

		@Override
		public void eventReceived(RunnerAttempt attempt, boolean first) {
		}

		@Override
		public void selected(RunnerAttempt attempt) {
		}

		@Override
		public void answered(RunnerAttempt attempt) {
		}

		@Override
		public void notRun(RunnerAttempt attempt, RunnerId faulty) {
		}

		@Override
		public void notSent(RunnerAttempt attempt, String reason) {
		}

		@Override
		public void brokenOff(RunnerAttempt attempt, String reason) {
		}

		@Override
		public void unusable(RunnerAttempt attempt, String reason) {
		}

		@Override
		public boolean runnersSuspected(RunnerAttempt attempt, Set<RunnerId> suspects, long silenceMillis) {
			return false;
		}

		@Override
		public void stalled(RunnerAttempt attempt, Set<RunnerId> causes, long silenceMillis) {
		}

	}

}
