package io.bilberryvalve.daemon.reply;

import java.util.List;
import java.util.stream.IntStream;

import io.bilberryvalve.daemon.engine.EngineFailure.Kind;
import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.outcome.TokenEvent;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class ReplySessionTests {

	private static final int LENGTH = 12;

	private final ReplyFixture fixture = new ReplyFixture();

	private final FakeEngines engines = this.fixture.engines;

	// Guards against a token that is lost, repeated or out of order after a stage fails.
	// Any stage fails before any token, and the old chain keeps sending afterwards.
	@Property(seed = "21", tries = 200)
	void deliversEveryTokenOnceWhenAStageFails(@ForAll @IntRange(max = LENGTH - 1) int failedAt,
			@ForAll @IntRange(max = 1) int stage) {
		ReplyFixture local = new ReplyFixture();
		ReplySession session = local.startedSession(LENGTH);
		FakeEngines.FakeStream first = local.engines.lastStream();
		first.sendTokens(0, failedAt, LENGTH);
		Chain chain = first.request.chain();
		RunnerId failed = chain.stages().get(stage).runner().id();
		local.engines.unreachable.add(chain.stages().get(stage).runner().address());
		first.fail(Kind.STAGE, failed.value());
		FakeEngines.FakeStream second = local.engines.lastStream();
		first.sendTokens(failedAt, LENGTH, LENGTH);
		second.sendTokens(failedAt, LENGTH, LENGTH);
		assertThat(second.request.chain().uses(List.of(failed))).isFalse();
		assertThat(second.request.epoch()).isGreaterThan(first.request.epoch());
		assertThat(second.request.delivered()).hasSize(failedAt);
		assertThat(second.request.chain().stages()).contains(chain.stages().get(1 - stage));
		assertComplete(session, LENGTH);
		assertThat(local.released).hasSize(1);
	}

	// Guards against delivery of late, duplicate and reordered events.
	@Example
	void dropsEventsOutOfSequence() {
		ReplySession session = this.fixture.startedSession(4);
		FakeEngines.FakeStream stream = this.engines.lastStream();
		stream.sendToken(0, false);
		stream.sendToken(0, false);
		stream.sendTokens(1, 4, 4);
		stream.sendToken(3, true);
		assertComplete(session, 4);
	}

	// Guards against a reply that hangs because its engine stopped without closing the
	// connection.
	@Example
	void movesToAnotherRunnerAfterSilence() {
		ReplySession session = this.fixture.startedSession(4);
		FakeEngines.FakeStream first = this.engines.lastStream();
		first.sendToken(0, false);
		this.fixture.advance(999);
		assertThat(this.engines.opened).hasSize(1);
		this.fixture.advance(2);
		assertThat(this.engines.opened).hasSize(2);
		assertThat(first.closed).isTrue();
		assertThat(this.engines.calls).anyMatch((call) -> call.startsWith("reconnect"));
		assertThat(this.engines.lastStream().request.chain().first()).isNotEqualTo(first.request.chain().first());
		this.engines.lastStream().sendTokens(1, 4, 4);
		assertComplete(session, 4);
	}

	// Guards against a reply that hangs because a later stage stopped while the first one
	// still sends keep-alives.
	@Example
	void replacesALaterStageThatDoesNotAnswer() {
		ReplySession session = this.fixture.startedSession(4);
		FakeEngines.FakeStream first = this.engines.lastStream();
		first.sendToken(0, false);
		this.engines.unreachable.add(first.request.chain().stages().get(1).runner().address());
		for (int i = 0; i < 4; i++) {
			this.fixture.advance(200);
			first.listener.onKeepAlive();
		}
		assertThat(this.engines.opened).hasSize(2);
		this.engines.lastStream().sendTokens(1, 4, 4);
		assertComplete(session, 4);
	}

	// Guards against rebuilding the KV cache when the leaving stage could still transfer
	// it.
	@Example
	void pullsTheCacheFromALeavingStage() {
		this.fixture.startedSession(4);
		FakeEngines.FakeStream first = this.engines.lastStream();
		first.sendToken(0, false);
		RunnerId leaving = first.request.chain().stages().get(1).runner().id();
		this.engines.leaving.add(first.request.chain().stages().get(1).runner().address());
		first.fail(Kind.STAGE, leaving.value());
		RunnerId replacement = this.engines.lastStream().request.chain().stages().get(1).runner().id();
		assertThat(replacement).isNotEqualTo(leaving);
		String source = first.request.chain().stages().get(1).runner().address().toString();
		assertThat(this.engines.calls).anyMatch((call) -> call.startsWith("pull") && call.endsWith(source + " 2"));
	}

	// Guards against a stage that still computes for the old epoch because it was not
	// cancelled there.
	@Example
	void cancelsTheOldEpochAtEveryStage() {
		this.fixture.startedSession(4);
		this.engines.lastStream().fail(Kind.CLOSED, null);
		assertThat(this.engines.calls.stream().filter((call) -> call.startsWith("cancel") && call.endsWith(" 1")))
			.hasSize(2);
	}

	// Guards against delivery of a token whose trace shows that not all layers were run.
	@Example
	void replacesAChainWithABadTrace() {
		ReplySession session = this.fixture.startedSession(2);
		FakeEngines.FakeStream first = this.engines.lastStream();
		TokenEvent event = first.event(0, false);
		first.listener.onToken(new TokenEvent(1, 0, "x", event.trace().subList(0, 1), false));
		assertThat(session.log().nextIndex()).isZero();
		assertThat(this.engines.opened).hasSize(2);
		this.engines.lastStream().sendTokens(0, 2, 2);
		assertComplete(session, 2);
	}

	// Guards against the outcome "unknown" although no engine accepted a connection.
	@Example
	void reportsNotRunIfEveryConnectionWasRefused() {
		IntStream.rangeClosed(1, 4).mapToObj(ReplyFixture::address).forEach(this.engines.unreachable::add);
		this.fixture.startedSession(2);
		assertThat(problem().outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(this.engines.opened).isEmpty();
	}

	// Guards against the outcome "not-run" after a request was sent once, even if every
	// later connection is refused.
	@Example
	void reportsUnknownOnceSomethingWasSent() {
		this.fixture.startedSession(2);
		IntStream.rangeClosed(1, 4).mapToObj(ReplyFixture::address).forEach(this.engines.unreachable::add);
		this.engines.lastStream().fail(Kind.CLOSED, null);
		assertThat(problem().outcome()).isEqualTo(Outcome.UNKNOWN);
	}

	// Guards against unbounded buffering of tokens for a slow caller.
	@Example
	void stopsReadingWhileTheCallerIsSlow() {
		ReplySession session = this.fixture.startedSession(100);
		FakeEngines.FakeStream stream = this.engines.lastStream();
		int window = ReplySettings.defaults().windowTokens();
		stream.sendTokens(0, window, 100);
		int reads = stream.reads;
		this.fixture.advance(20_000);
		assertThat(this.engines.opened).hasSize(1);
		session.onRead(10);
		assertThat(stream.reads).isEqualTo(reads + 1);
	}

	// Guards against engines that keep computing for a caller that has disconnected, and
	// against a permit that is never released.
	@Example
	void cancelsWhenTheCallerDisconnects() {
		ReplySession session = this.fixture.startedSession(4);
		FakeEngines.FakeStream stream = this.engines.lastStream();
		stream.sendToken(0, false);
		session.onReaderDetached();
		assertThat(stream.closed).isTrue();
		assertThat(this.engines.calls.stream().filter((call) -> call.startsWith("cancel"))).hasSize(2);
		assertThat(this.fixture.released).hasSize(1);
	}

	// Guards against ending a reply because its caller waited long for admission, and
	// against keeping a reply whose caller never reads.
	@Example
	void endsOnlyIfNobodyReadsAfterTheOpening() {
		ReplySession session = this.fixture.newSession(4);
		this.fixture.advance(10_000);
		session.start(this.fixture.released::add);
		this.fixture.advance(900);
		assertThat(session.log().ended()).isFalse();
		for (int i = 0; i < 4; i++) {
			this.engines.lastStream().listener.onKeepAlive();
			this.fixture.advance(500);
		}
		assertThat(session.log().ended()).isTrue();
	}

	// Guards against a reply that outlives its deadline.
	@Example
	void endsAtTheDeadline() {
		ReplySession session = this.fixture.startedSession(4);
		for (int i = 0; i < 60; i++) {
			this.engines.lastStream().listener.onKeepAlive();
			this.fixture.advance(500);
		}
		Problem problem = session.log().problem();
		assertThat(problem).isNotNull();
		assertThat(problem.outcome()).isEqualTo(Outcome.UNKNOWN);
		assertThat(problem.kind().text()).isEqualTo("deadline-exceeded");
	}

	// Guards against a continuation that repeats or skips tokens, or claims "not-run".
	@Example
	void continuesAnAbandonedReplyInTheNextEpoch() {
		ReplySession session = this.fixture.startedSession(4);
		this.engines.lastStream().sendTokens(0, 2, 4);
		session.onReaderDetached();
		ReplySession next = session.continuation(session.request());
		next.onReaderAttached();
		next.start(this.fixture.released::add);
		this.engines.opened.get(0).sendTokens(2, 4, 4);
		assertThat(next.log().nextIndex()).isEqualTo(2);
		assertThat(this.engines.lastStream().request.epoch()).isEqualTo(2);
		this.engines.lastStream().sendTokens(2, 4, 4);
		assertComplete(next, 4);
	}

	private Problem problem() {
		Result<ReplyLog> result = this.fixture.opening.toCompletableFuture().join();
		return (result instanceof Result.Failed<ReplyLog> failed) ? failed.problem()
				: ((Result.Ok<ReplyLog>) result).value().problem();
	}

	private static void assertComplete(ReplySession session, int length) {
		assertThat(session.log().ended()).isTrue();
		assertThat(session.log().problem()).isNull();
		assertThat(session.log().tokens(0, length + 1)).extracting(ReplyToken::index)
			.containsExactlyElementsOf(IntStream.range(0, length).boxed().toList());
		assertThat(session.log().texts())
			.containsExactlyElementsOf(IntStream.range(0, length).mapToObj((i) -> "t" + i + " ").toList());
	}

}
