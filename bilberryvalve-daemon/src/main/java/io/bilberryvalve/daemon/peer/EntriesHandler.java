package io.bilberryvalve.daemon.peer;

import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.daemon.http.Access;
import io.bilberryvalve.daemon.http.Exchange;
import io.bilberryvalve.daemon.http.Route;
import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.policy.membership.EntrySelector;
import io.bilberryvalve.policy.membership.Member;
import io.bilberryvalve.policy.membership.MemberState;
import io.bilberryvalve.policy.membership.MemberView;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Handles {@code GET /v1/entries}, which tells callers to which entries they can send
 * requests. An entry is a daemon as its callers see it.
 */
public final class EntriesHandler {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final EntrySelector selector = new EntrySelector();

	private final Supplier<Member> self;

	private final Supplier<List<MemberView>> others;

	private final Lifecycle lifecycle;

	private final Duration timeToLive;

	/**
	 * Creates a handler.
	 * @param self supplies this daemon as a member
	 * @param others supplies the other known daemons with their states
	 * @param lifecycle serving state of this daemon
	 * @param timeToLive how long callers may use a list; the response states whole
	 * seconds, rounded down, so that no caller uses the list for longer
	 */
	public EntriesHandler(Supplier<Member> self, Supplier<List<MemberView>> others, Lifecycle lifecycle,
			Duration timeToLive) {
		this.self = self;
		this.others = others;
		this.lifecycle = lifecycle;
		this.timeToLive = timeToLive;
	}

	/**
	 * Returns the route of the entry list.
	 * @return the route {@code GET /v1/entries}
	 */
	public List<Route> routes() {
		return List.of(Route.of(HttpRequestMethod.GET, "/v1/entries", Access.PUBLIC, false, this::handle));
	}

	/**
	 * Returns the response body for the next caller. Successive calls may order the
	 * entries differently.
	 * @return a JSON object with the fields {@code entries} and {@code ttlSeconds}
	 */
	String document() {
		Member own = this.self.get();
		List<MemberView> all = Stream
			.concat(Stream.of(new MemberView(own, state(this.lifecycle.state()), true)), this.others.get().stream())
			.toList();
		ObjectNode document = JSON.createObjectNode();
		ArrayNode entries = document.putArray("entries");
		for (EntrySelector.Entry entry : this.selector.select(all, own.dataCentre())) {
			entries.addObject()
				.put("address", entry.address().toString())
				.put("dataCentre", entry.dataCentre().value());
		}
		document.put("ttlSeconds", this.timeToLive.toSeconds());
		return document.toString();
	}

	private Single<StreamingHttpResponse> handle(Exchange exchange) {
		StreamingHttpResponse response = exchange.responses().ok();
		response.headers().set("content-type", "application/json");
		response.headers().set("cache-control", "max-age=" + this.timeToLive.toSeconds());
		return Single
			.succeeded(response.payloadBody(Publisher.from(BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(document()))));
	}

	private static MemberState state(ServingState state) {
		return switch (state) {
			case READY -> MemberState.LIVE;
			case LEAVING -> MemberState.LEAVING;
			case STARTING, DRAINING, STOPPED -> MemberState.ABSENT;
		};
	}

}
