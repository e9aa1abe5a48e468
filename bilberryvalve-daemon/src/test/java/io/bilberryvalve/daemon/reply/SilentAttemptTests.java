package io.bilberryvalve.daemon.reply;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import io.bilberryvalve.daemon.engine.EngineFailure.Kind;
import io.bilberryvalve.daemon.reply.FakeEngines.FakeStream;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.Stage;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class SilentAttemptTests {

	private static final int LENGTH = 4;

	private static final long SILENCE_MILLIS = 1001;

	private final ReplyFixture fixture = new ReplyFixture();

	private final FakeEngines engines = this.fixture.engines;

	// Guards against a begun reply that ends because no other engine accepts it, although
	// its own engine was only silent for a moment.
	@Example
	void goesOnIfEveryReplacementIsRefused() {
		ReplySession session = begunReply();
		FakeStream first = this.engines.lastStream();
		IntStream.rangeClosed(1, 4).mapToObj(ReplyFixture::address).forEach(this.engines.unreachable::add);
		this.fixture.advance(SILENCE_MILLIS);
		assertThat(session.log().ended()).isFalse();
		assertThat(first.closed).isFalse();
		first.sendTokens(1, LENGTH, LENGTH);
		assertComplete(session);
	}

	// Guards against the same end if the later stage is the one that falls silent.
	@Example
	void goesOnIfNoStageCanReplaceASilentOne() {
		ReplySession session = begunReply();
		FakeStream first = this.engines.lastStream();
		IntStream.rangeClosed(1, 4).mapToObj(ReplyFixture::address).forEach(this.engines.unreachable::add);
		for (int i = 0; i < 4; i++) {
			this.fixture.advance(200);
			first.listener.onKeepAlive();
		}
		assertThat(session.log().ended()).isFalse();
		first.sendTokens(1, LENGTH, LENGTH);
		assertComplete(session);
	}

	// Guards against ending the silent attempt when a replacement breaks off without a
	// token, whatever it answers.
	@Property(seed = "31", tries = 50)
	void goesOnIfTheReplacementFails(@ForAll Kind kind) {
		ReplyFixture local = new ReplyFixture();
		ReplySession session = local.startedSession(LENGTH);
		FakeStream first = local.engines.lastStream();
		first.sendToken(0, false);
		silenceRunners(local, first);
		FakeStream second = local.engines.lastStream();
		assertThat(second).isNotSameAs(first);
		IntStream.rangeClosed(1, 4).mapToObj(ReplyFixture::address).forEach(local.engines.unreachable::add);
		second.fail(kind, null);
		assertThat(session.log().ended()).isFalse();
		first.sendTokens(1, LENGTH, LENGTH);
		assertComplete(session);
		assertThat(local.released).hasSize(1);
	}

	// Guards against dropping the tokens of an engine that goes on before its replacement
	// does.
	@Example
	void keepsTheSilentAttemptIfItGoesOnFirst() {
		ReplySession session = begunReply();
		FakeStream first = this.engines.lastStream();
		silenceRunners(this.fixture, first);
		FakeStream second = this.engines.lastStream();
		assertThat(second).isNotSameAs(first);
		assertThat(first.closed).isFalse();
		first.sendToken(1, false);
		assertThat(second.closed).isTrue();
		second.sendTokens(1, LENGTH, LENGTH);
		assertThat(session.log().nextIndex()).isEqualTo(2);
		first.sendTokens(2, LENGTH, LENGTH);
		assertComplete(session);
		assertThat(this.engines.calls).contains("cancel " + address(second) + " 2")
			.doesNotContain("cancel " + address(first) + " 1");
	}

	// Guards against a second epoch with the number of one that was cancelled, which
	// engines refuse.
	@Example
	void usesANewEpochAfterAReplacementWasCancelled() {
		ReplySession session = begunReply();
		FakeStream first = this.engines.lastStream();
		silenceRunners(this.fixture, first);
		first.sendToken(1, false);
		first.fail(Kind.CLOSED, null);
		FakeStream third = this.engines.lastStream();
		assertThat(third.request.epoch()).isEqualTo(3);
		assertThat(third.request.delivered()).hasSize(2);
		third.sendTokens(2, LENGTH, LENGTH);
		assertComplete(session);
	}

	// Guards against two attempts that both deliver.
	@Example
	void cancelsTheSilentAttemptIfItsReplacementGoesOnFirst() {
		ReplySession session = begunReply();
		FakeStream first = this.engines.lastStream();
		silenceRunners(this.fixture, first);
		FakeStream second = this.engines.lastStream();
		second.sendToken(1, false);
		assertThat(first.closed).isTrue();
		first.sendTokens(1, LENGTH, LENGTH);
		assertThat(session.log().nextIndex()).isEqualTo(2);
		second.sendTokens(2, LENGTH, LENGTH);
		assertComplete(session);
		assertThat(this.engines.calls).contains("cancel " + address(first) + " 1");
	}

	// Guards against cancelling the silent attempt at a stage that a failed replacement
	// shares with it, since the engine cancels all epochs up to the one named.
	@Example
	void doesNotCancelAReplacementAtASharedStage() {
		ReplySession session = begunReply();
		FakeStream first = this.engines.lastStream();
		Address shared = first.request.chain().stages().get(1).runner().address();
		IntStream.rangeClosed(1, 4).mapToObj(ReplyFixture::address).forEach(this.engines.unreachable::add);
		this.engines.unreachable.remove(shared);
		this.fixture.advance(SILENCE_MILLIS);
		assertThat(session.log().ended()).isFalse();
		assertThat(this.engines.calls).noneMatch((call) -> call.startsWith("cancel " + shared));
		first.sendTokens(1, LENGTH, LENGTH);
		assertComplete(session);
	}

	// Guards against a reply without an end if all engines stay silent.
	@Example
	void endsAtTheDeadlineIfNoAttemptGoesOn() {
		ReplySession session = begunReply();
		FakeStream first = this.engines.lastStream();
		IntStream.rangeClosed(1, 4).mapToObj(ReplyFixture::address).forEach(this.engines.unreachable::add);
		for (int i = 0; i < 29; i++) {
			this.fixture.advance(1000);
			assertThat(session.log().ended()).isFalse();
		}
		this.fixture.advance(1000);
		assertThat(session.log().problem()).isNotNull();
		assertThat(session.log().problem().kind().text()).isEqualTo("deadline-exceeded");
		assertThat(first.closed).isTrue();
		assertThat(this.fixture.released).hasSize(1);
	}

	// Guards against lost, repeated and reordered tokens, and against attempts or permits
	// that stay behind, however silences, failures and late tokens are interleaved.
	@Property(tries = 500, seed = "32")
	void deliversEachTokenOnceInAnyInterleaving(@ForAll long seed) {
		Random random = new Random(seed);
		ReplyFixture local = new ReplyFixture();
		ReplySession session = local.startedSession(LENGTH);
		for (int i = 0; i < 40 && !session.log().ended(); i++) {
			List<FakeStream> opened = local.engines.opened;
			FakeStream stream = opened.get(random.nextInt(opened.size()));
			switch (random.nextInt(6)) {
				case 0 -> local.advance(SILENCE_MILLIS);
				case 1 -> stream.fail(Kind.values()[random.nextInt(Kind.values().length)], null);
				case 2 -> changeReachability(local, random);
				case 3 -> stream.listener.onKeepAlive();
				default -> stream.sendToken(session.log().nextIndex(), session.log().nextIndex() == LENGTH - 1);
			}
		}
		List<Integer> indexes = session.log().tokens(0, LENGTH + 1).stream().map(ReplyToken::index).toList();
		assertThat(indexes).containsExactlyElementsOf(IntStream.range(0, indexes.size()).boxed().toList());
		if (!session.log().ended()) {
			session.onReaderDetached();
		}
		assertThat(session.log().ended()).isTrue();
		assertThat(local.released).hasSize(1);
		assertThat(local.engines.opened.stream().filter((stream) -> !stream.closed).count()).isLessThanOrEqualTo(1);
		assertThat(epochs(local.engines.opened)).doesNotHaveDuplicates().isSorted();
	}

	private static void changeReachability(ReplyFixture fixture, Random random) {
		Address address = ReplyFixture.address(1 + random.nextInt(4));
		Set<Address> unreachable = fixture.engines.unreachable;
		if (!unreachable.remove(address)) {
			unreachable.add(address);
		}
	}

	private ReplySession begunReply() {
		ReplySession session = this.fixture.startedSession(LENGTH);
		this.engines.lastStream().sendToken(0, false);
		return session;
	}

	private static void silenceRunners(ReplyFixture fixture, FakeStream stream) {
		Chain chain = stream.request.chain();
		Set<Address> silent = new HashSet<>();
		chain.stages().forEach((stage) -> silent.add(stage.runner().address()));
		fixture.engines.unreachable.addAll(silent);
		fixture.advance(SILENCE_MILLIS);
		fixture.engines.unreachable.removeAll(silent);
		Collection<RunnerId> replaced = chain.stages()
			.stream()
			.map(Stage::runner)
			.map((runner) -> runner.id())
			.toList();
		assertThat(fixture.engines.lastStream().request.chain().uses(replaced)).isFalse();
	}

	private static List<Integer> epochs(List<FakeStream> streams) {
		return streams.stream().map((stream) -> stream.request.epoch()).toList();
	}

	private static Address address(FakeStream stream) {
		return stream.request.chain().first().runner().address();
	}

	private static void assertComplete(ReplySession session) {
		assertThat(session.log().ended()).isTrue();
		assertThat(session.log().problem()).isNull();
		assertThat(session.log().texts())
			.containsExactlyElementsOf(IntStream.range(0, LENGTH).mapToObj((i) -> "t" + i + " ").toList());
	}

}
