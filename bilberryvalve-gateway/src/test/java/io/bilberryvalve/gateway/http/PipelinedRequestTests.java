package io.bilberryvalve.gateway.http;

import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.model.clock.ManualClock;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of pipelined requests on a {@link CallerConnection}.
 */
class PipelinedRequestTests {

	private final ManualClock clock = new ManualClock();

	private final List<CallerExchange> exchanges = new ArrayList<>();

	private final EmbeddedChannel channel = new EmbeddedChannel(
			new CallerConnection(new CallerServer(new Transport(1), () -> {
				throw new IllegalStateException("no limits");
			}, this.clock, (exchange) -> {
			}), this.exchanges::add, this.clock, new HeaderTimer(this.clock)));

	private static FullHttpRequest request(String target) {
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target);
	}

	private void answerFirst() {
		this.exchanges.get(0).respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), "first");
	}

	private List<String> targets() {
		return this.exchanges.stream().map((exchange) -> exchange.request().uri()).toList();
	}

	// Guards against answers in the wrong order: a request that arrives between two
	// others must not be handled beside the one before it.
	@Example
	void laterRequestDoesNotOvertakeAPipelinedOne() {
		this.channel.writeInbound(request("/1"), request("/2"));
		answerFirst();
		this.channel.pipeline().fireChannelRead(request("/3"));
		this.channel.runPendingTasks();
		assertThat(targets()).containsExactly("/1", "/2");
	}

	// Guards against a request that is sent to a runner after its caller has left.
	@Example
	void pipelinedRequestIsDroppedWhenItsCallerLeaves() {
		FullHttpRequest second = request("/2");
		this.channel.writeInbound(request("/1"), second);
		answerFirst();
		this.channel.pipeline().fireChannelInactive();
		this.channel.runPendingTasks();
		assertThat(targets()).containsExactly("/1");
		assertThat(second.refCnt()).isZero();
	}

}
