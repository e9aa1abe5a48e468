package io.bilberryvalve.daemon.reply;

import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against replies that are cut because sound engines were silent for a second. A
 * silent engine answers no probe, and goes on with every stream that is still open.
 */
class SilentEngineTests {

	private final ReplyFixture fixture = new ReplyFixture();

	private final FakeEngines engines = this.fixture.engines;

	@Example
	void replyGoesOnWhenTheOnlyChainWasSilent() {
		this.fixture.configuration.setIfNewer(
				ReplyFixture.configuration(2, List.of(ReplyFixture.runner(1, 0, 4), ReplyFixture.runner(3, 4, 8))));
		this.fixture.fleet.replan();
		ReplySession session = this.fixture.startedSession(4);
		this.engines.lastStream().sendToken(0, false);
		silence(1, 3);
		advance(1200);
		goOn();
		assertComplete(session);
	}

	@Example
	void replyGoesOnWhenTheLastStageOfTheOnlyChainWasSilent() {
		this.fixture.configuration.setIfNewer(
				ReplyFixture.configuration(2, List.of(ReplyFixture.runner(1, 0, 4), ReplyFixture.runner(3, 4, 8))));
		this.fixture.fleet.replan();
		ReplySession session = this.fixture.startedSession(4);
		FakeEngines.FakeStream stream = this.engines.lastStream();
		stream.sendToken(0, false);
		silence(3);
		for (int i = 0; i < 6; i++) {
			advance(200);
			stream.listener.onKeepAlive();
		}
		goOn();
		assertComplete(session);
	}

	@Example
	void replyGoesOnWhenBothChainsWereSilent() {
		ReplySession session = this.fixture.startedSession(4);
		this.engines.lastStream().sendToken(0, false);
		silence(1, 2, 3, 4);
		advance(1200);
		goOn();
		assertComplete(session);
	}

	private void silence(int... runners) {
		IntStream.of(runners).forEach((runner) -> this.engines.silent.add(ReplyFixture.address(runner)));
	}

	private void goOn() {
		this.engines.silent.clear();
		this.engines.opened.stream().filter((stream) -> !stream.closed).toList().forEach((stream) -> {
			for (int i = 1; i < 4 && !stream.closed; i++) {
				stream.sendToken(i, i == 3);
			}
		});
	}

	private void advance(int millis) {
		for (int i = 0; i < millis; i += 50) {
			this.fixture.advance(50);
		}
	}

	private static void assertComplete(ReplySession session) {
		assertThat(session.log().problem()).isNull();
		assertThat(session.log().ended()).isTrue();
		assertThat(session.log().texts()).containsExactly("t0 ", "t1 ", "t2 ", "t3 ");
	}

}
