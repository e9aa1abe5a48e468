package io.bilberryvalve.gateway.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.model.clock.ManualClock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CallerConnection} on an embedded channel, on which the order of reads
 * and tasks is fixed.
 */
class CallerConnectionTests {

	private static final CallerLimits LONG_IDLE = new CallerLimits(1024, 64, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	private static final CallerLimits SHORT_IDLE = new CallerLimits(1024, 64, Duration.ofSeconds(3),
			Duration.ofSeconds(1));

	private static final String BODY_HEAD = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";

	private static final String EXPECTING_HEAD = BODY_HEAD.replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");

	private final ManualClock clock = new ManualClock();

	private final Transport transport = new Transport(1);

	private final List<CallerExchange> exchanges = new ArrayList<>();

	private final List<String> handled = new ArrayList<>();

	private final FlushGate gate = new FlushGate();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private CallerLimits limits = LONG_IDLE;

	private final CallerServer server = new CallerServer(this.transport, () -> this.limits, this.clock, this::handle);

	CallerConnectionTests() {
		this.channel.freezeTime();
		this.channel.pipeline().addLast(this.gate);
		this.server.accept(this.channel);
	}

	@AfterTry
	void close() {
		this.channel.finishAndReleaseAll();
		this.transport.close();
	}

	@Example
	void answerThatTheCallerReadsSlowlyIsNotCutByTheIdleTimeout() {
		this.limits = SHORT_IDLE;
		this.gate.closed = true;
		receive(get("/a"));
		answer(0);
		this.clock.advance(Duration.ofSeconds(20));
		closeTimedOut();
		this.gate.open();
		assertThat(sent()).contains("HTTP/1.1 200").endsWith("/a");
		assertThat(this.channel.isOpen()).isTrue();
	}

	@Example
	void answerThatTheCallerReadsSlowlyIsNotCutWhileDraining() {
		this.server.startDraining();
		this.gate.closed = true;
		receive(get("/a"));
		answer(0);
		closeIdle();
		this.gate.open();
		assertThat(sent()).contains("connection: close").endsWith("/a");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Example
	void answerBeforeAMalformedRequestIsNotCut() {
		this.gate.closed = true;
		receive(get("/a"));
		answer(0);
		receive("GET /b HTTP/1.1\r\nX-Long: " + "x".repeat(2000) + "\r\n\r\n");
		this.gate.open();
		assertThat(sent()).startsWith("HTTP/1.1 200").contains("/aHTTP/1.1 431");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Example
	void answerOfWhichTheCallerReadsNothingForLongIsCut() {
		this.gate.closed = true;
		receive(get("/a"));
		answer(0);
		closeTimedOut();
		this.clock.advance(Duration.ofSeconds(29));
		closeTimedOut();
		assertThat(this.channel.isOpen()).isTrue();
		this.clock.advance(Duration.ofSeconds(2));
		closeTimedOut();
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Example
	void requestWithASplitBodyIsAnsweredWhenTheIdleTimeoutShortens() {
		this.clock.advance(Duration.ofSeconds(10));
		receive(BODY_HEAD + "ab");
		this.limits = SHORT_IDLE;
		closeTimedOut();
		receive("cd");
		answer(0);
		assertThat(sent()).contains("HTTP/1.1 200").endsWith("/a");
	}

	@Example
	void requestWithASplitBodyIsAnsweredWhileDraining() {
		receive(BODY_HEAD + "ab");
		this.server.startDraining();
		closeIdle();
		receive("cd");
		answer(0);
		assertThat(sent()).contains("HTTP/1.1 200").endsWith("/a");
	}

	@Example
	void requestWithASplitHeadIsAnsweredWhenTheIdleTimeoutShortens() {
		this.clock.advance(Duration.ofSeconds(10));
		receive("GET /a HTTP/1.1\r\nHo");
		this.limits = SHORT_IDLE;
		closeTimedOut();
		receive("st: h\r\n\r\n");
		answer(0);
		assertThat(sent()).contains("HTTP/1.1 200").endsWith("/a");
	}

	@Example
	void bodyThatStaysIncompleteIsGivenUpAfterTheIdleTimeout() {
		receive(BODY_HEAD + "ab");
		this.clock.advance(Duration.ofSeconds(17));
		closeTimedOut();
		assertThat(this.channel.isOpen()).isFalse();
		assertThat(this.handled).isEmpty();
	}

	@Example
	void requestBehindAStreamIsAnsweredWhileDraining() {
		receive(get("/stream"));
		this.exchanges.get(0).start(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
		receive(get("/next"));
		this.server.startDraining();
		this.exchanges.get(0).end();
		this.channel.runPendingTasks();
		answer(1);
		assertThat(sent()).contains("connection: close").endsWith("/next");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Example
	void requestBehindAnAnswerIsAnsweredWhileDraining() {
		receive(get("/a") + get("/b"));
		this.server.startDraining();
		answer(0);
		this.channel.runPendingTasks();
		answer(1);
		String sent = sent();
		assertThat(sent).containsOnlyOnce("connection: close").endsWith("/b");
		assertThat(sent.indexOf("connection: close")).isGreaterThan(sent.lastIndexOf("HTTP/1.1"));
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Example
	void requestBehindAnAnswerIsAnsweredWhenIdleConnectionsAreClosedInBetween() {
		receive(get("/a") + get("/b"));
		this.gate.holdWrites();
		this.server.closeIdle();
		answer(0);
		this.channel.runPendingTasks();
		this.gate.open();
		assertThat(this.handled).containsExactly("/a", "/b");
		answer(1);
		assertThat(sent()).endsWith("/b");
	}

	@Example
	void requestBehindAnAnswerIsNotHandledAfterTheCallerHasLeft() {
		receive(get("/a") + get("/b"));
		answer(0);
		this.channel.pipeline().close();
		this.channel.runPendingTasks();
		assertThat(this.handled).containsExactly("/a");
	}

	@Example
	void requestThatArrivesBetweenTwoPipelinedOnesKeepsItsPlace() {
		receive(get("/a") + get("/b"));
		answer(0);
		this.channel.pipeline().fireChannelRead(bytes(get("/c")));
		this.channel.runPendingTasks();
		assertThat(this.handled).containsExactly("/a", "/b");
		answer(1);
		this.channel.runPendingTasks();
		answer(2);
		assertThat(this.handled).containsExactly("/a", "/b", "/c");
		assertThat(sent()).endsWith("/c");
	}

	@Example
	void tooLargeBodyIsRejectedAfterTheResponseBeforeIt() {
		receive(get("/stream"));
		this.exchanges.get(0).start(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
		receive(BODY_HEAD.replace("4\r", "65\r"));
		this.exchanges.get(0).end();
		this.channel.runPendingTasks();
		assertThat(sent()).startsWith("HTTP/1.1 200").contains("0\r\n\r\nHTTP/1.1 413");
		assertThat(this.handled).containsExactly("/stream");
	}

	@Example
	void continuationIsNotSentWithinAnotherResponse() {
		receive(get("/stream"));
		this.exchanges.get(0).start(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
		receive(EXPECTING_HEAD);
		this.exchanges.get(0).end();
		receive("abcd");
		this.channel.runPendingTasks();
		answer(1);
		assertThat(sent()).startsWith("HTTP/1.1 200").doesNotContain("100 Continue").endsWith("/a");
	}

	@Example
	void connectionClosesWhenTheCallerMayNotSendATooLargeBody() {
		receive(EXPECTING_HEAD.replace("Length: 4", "Length: 65"));
		assertThat(sent()).startsWith("HTTP/1.1 413").contains("connection: close");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Example
	void continuationIsSentBeforeTheBodyIsRead() {
		receive(EXPECTING_HEAD);
		assertThat(sent()).startsWith("HTTP/1.1 100");
		receive("abcd");
		answer(0);
		assertThat(sent()).startsWith("HTTP/1.1 200");
	}

	@Example
	void slowHeadIsNotRejectedBeforeAWaitingRequestIsAnswered() {
		receive(get("/a") + get("/b"));
		receive("GET /slow HTTP/1.1\r\n");
		this.clock.advance(Duration.ofSeconds(6));
		this.gate.holdWrites();
		this.server.closeTimedOut();
		answer(0);
		this.channel.runPendingTasks();
		this.gate.open();
		answer(1);
		assertThat(sent()).doesNotContain("408").endsWith("/b");
	}

	@Example
	void requestThatWaitsInTheSocketIsReadBeforeAnIdleConnectionIsClosed() {
		this.clock.advance(Duration.ofSeconds(10));
		this.limits = SHORT_IDLE;
		this.server.closeTimedOut();
		this.channel.runPendingTasks();
		receive(get("/a"));
		runScheduledTasks();
		answer(0);
		assertThat(sent()).contains("HTTP/1.1 200").endsWith("/a");
	}

	@Example
	void idleConnectionIsNotClosedWhenTheEventLoopHasNotReadForLong() {
		this.clock.advance(Duration.ofSeconds(10));
		this.limits = SHORT_IDLE;
		this.server.closeTimedOut();
		this.channel.runPendingTasks();
		this.clock.advance(Duration.ofMillis(200));
		runScheduledTasks();
		receive(get("/a"));
		answer(0);
		assertThat(sent()).contains("HTTP/1.1 200").endsWith("/a");
	}

	@Example
	void idleConnectionIsClosedAfterTheShortenedTimeout() {
		this.clock.advance(Duration.ofSeconds(10));
		this.limits = SHORT_IDLE;
		closeTimedOut();
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Example
	void connectionIsUnfinishedUntilItsAnswersAreSent() {
		assertThat(this.server.unfinishedCount()).isZero();
		receive(get("/a") + get("/b"));
		this.gate.closed = true;
		assertThat(this.server.unfinishedCount()).isEqualTo(1);
		answer(0);
		assertThat(this.server.unfinishedCount()).isEqualTo(1);
		this.channel.runPendingTasks();
		answer(1);
		assertThat(this.server.unfinishedCount()).isEqualTo(1);
		this.gate.open();
		assertThat(this.server.unfinishedCount()).isZero();
	}

	@Example
	void connectionIsFinishedWhenItsCallerHasLeft() {
		receive(get("/a") + get("/b"));
		this.channel.close();
		assertThat(this.server.unfinishedCount()).isZero();
	}

	private void handle(CallerExchange exchange) {
		this.handled.add(exchange.request().uri());
		this.exchanges.add(exchange);
	}

	private void answer(int index) {
		CallerExchange exchange = this.exchanges.get(index);
		exchange.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), exchange.request().uri());
	}

	private void closeTimedOut() {
		this.server.closeTimedOut();
		this.channel.runPendingTasks();
		runScheduledTasks();
	}

	private void closeIdle() {
		this.server.closeIdle();
		this.channel.runPendingTasks();
		runScheduledTasks();
	}

	private void runScheduledTasks() {
		this.channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private void receive(String text) {
		this.channel.writeInbound(bytes(text));
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
	}

	private static String get(String path) {
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
	}

	private String sent() {
		StringBuilder text = new StringBuilder();
		for (ByteBuf part = this.channel.readOutbound(); part != null; part = this.channel.readOutbound()) {
			text.append(part.toString(StandardCharsets.US_ASCII));
			part.release();
		}
		return text.toString();
	}

	/**
	 * Holds back flushes or writes, as a connection whose caller does not read. The
	 * embedded channel runs pending tasks in each write that reaches it.
	 */
	private static final class FlushGate extends ChannelOutboundHandlerAdapter {

		private final List<Runnable> held = new ArrayList<>();

		private ChannelHandlerContext context;

		private boolean closed;

		private boolean holding;

		@Override
		public void handlerAdded(ChannelHandlerContext ctx) {
			this.context = ctx;
		}

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
			if (this.holding) {
				this.held.add(() -> ctx.write(message, promise));
			}
			else {
				ctx.write(message, promise);
			}
		}

		@Override
		public void flush(ChannelHandlerContext ctx) {
			if (!this.closed && !this.holding) {
				ctx.flush();
			}
		}

		void holdWrites() {
			this.holding = true;
		}

		void open() {
			this.closed = false;
			this.holding = false;
			this.held.forEach(Runnable::run);
			this.held.clear();
			this.context.flush();
		}

	}

}
