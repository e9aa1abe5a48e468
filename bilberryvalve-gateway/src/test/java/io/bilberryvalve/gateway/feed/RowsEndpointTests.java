package io.bilberryvalve.gateway.feed;

import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.gateway.Gateway;
import io.bilberryvalve.gateway.http.CallerServer;
import io.bilberryvalve.gateway.http.HttpClient;
import io.bilberryvalve.gateway.http.HttpResult;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.gateway.report.Metrics;
import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.clock.MonotonicClock;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.watch.RowMirror;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.platform.watch.TableFeed;
import io.bilberryvalve.wire.proto.RowMessages.RowsReply;
import io.netty.handler.codec.http.HttpMethod;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RowsEndpoint} and {@link HttpRowRelay} on the loopback interface.
 */
class RowsEndpointTests {

	private static final CallerLimits LIMITS = new CallerLimits(8192, 8192, Duration.ofSeconds(3),
			Duration.ofSeconds(30));

	/** Longer than the test; a reply ends the wait. */
	private static final Duration LONG = Duration.ofSeconds(5);

	private final Clock clock = new MonotonicClock();

	private final Transport transport = new Transport(1);

	private final RowMirror mirror = new RowMirror(this.clock, this.transport.control(), (before, now) -> false);

	private final Address address = new CallerServer(this.transport, () -> LIMITS, this.clock,
			new RowsEndpoint(Map.of("t", this.mirror)))
		.listen("127.0.0.1", 0);

	private final HttpClient httpClient = Gateway.createHttpClient(this.transport, this.clock);

	private final HttpRowRelay relay = new HttpRowRelay(this.httpClient);

	@AfterTry
	void close() {
		this.transport.close();
	}

	private static StoreVersion at(long version) {
		return new StoreVersion(3, version);
	}

	private static Row row(long version, String value) {
		return new Row("t", "k", version, value);
	}

	private static TableFeed.Changes change(long version, String value) {
		return new TableFeed.Changes(List.of(new TableFeed.Change(row(version, value), false)), at(version));
	}

	private CompletableFuture<RowsReply> ask(StoreVersion after, Duration wait) {
		return this.relay.ask(this.address, RowMessagesCodec.request("t", after, wait), LONG.multipliedBy(2))
			.toCompletableFuture();
	}

	private int statusOf(String path, byte[] body) {
		HttpResult result = this.httpClient
			.call(this.address, HttpMethod.POST, path, body, RowsEndpoint.CONTENT_TYPE, LONG)
			.join();
		return ((HttpResult.Response) result).status();
	}

	@Example
	void sendsAllRowsAndThenAChange() {
		assertThat(ask(StoreVersion.NONE, Duration.ZERO).join().getResult()).isEqualTo(RowsReply.Result.UNAVAILABLE);
		this.mirror.recordSnapshot(new TableFeed.Snapshot(List.of(row(4, "ä\u0000b")), at(5)), true);
		RowsReply all = ask(StoreVersion.NONE, Duration.ZERO).join();
		assertThat(RowMessagesCodec.snapshot("t", all))
			.isEqualTo(new TableFeed.Snapshot(List.of(row(4, "ä\u0000b")), at(5)));
		CompletableFuture<RowsReply> poll = ask(at(5), LONG);
		this.mirror.recordChanges(change(6, "two"), true);
		assertThat(RowMessagesCodec.changes("t", poll.join())).isEqualTo(change(6, "two").changes());
		assertThat(poll.join().getAge()).isBetween(0L, 1000L);
	}

	@Example
	void refusesWhatIsNoRequest() {
		assertThat(statusOf(RowsEndpoint.PATH, "no message".getBytes(StandardCharsets.UTF_8))).isEqualTo(400);
		byte[] other = RowMessagesCodec.request("other", StoreVersion.NONE, Duration.ZERO).toByteArray();
		assertThat(statusOf(RowsEndpoint.PATH, other)).isEqualTo(400);
		assertThat(statusOf("/", other)).isEqualTo(404);
	}

	@Example
	void daemonThatDoesNotListenHasNoReply() {
		Address closed = new Address("127.0.0.1", 1);
		assertThat(this.relay.ask(closed, RowMessagesCodec.request("t", at(1), Duration.ZERO), LONG)
			.toCompletableFuture()
			.join()).isNull();
	}

	// Guards against rows that only the tests of one side understand.
	@Example
	void feedOfAnotherDaemonFollowsTheMirror() {
		this.mirror.recordSnapshot(new TableFeed.Snapshot(List.of(row(4, "one")), at(5)), true);
		RowMirror own = new RowMirror(this.clock, this.transport.control(), (before, now) -> false);
		RelayedTableFeed feed = new RelayedTableFeed(new NoStore(), this.relay, new Follower(this.address),
				Map.of("t", own), new StoreReach(), new Metrics(), this.clock, new Random(1));
		own.recordSnapshot(new TableFeed.Snapshot(List.of(row(4, "one")), at(5)), false);
		this.mirror.recordChanges(change(6, "two"), true);
		ReadResult<TableFeed.Changes> read = feed.changes("t", at(5), LONG).toCompletableFuture().join();
		assertThat(read).isEqualTo(new ReadResult.Found<>(change(6, "two")));
		ReadResult<TableFeed.Snapshot> all = feed.snapshot("t").toCompletableFuture().join();
		assertThat(all).isEqualTo(new ReadResult.Found<>(new TableFeed.Snapshot(List.of(row(6, "two")), at(6))));
	}

	/**
	 * Role of a daemon with one delegate.
	 *
	 * @param delegate address of the delegate
	 */
	private record Follower(Address delegate) implements ReaderRole {

		@Override
		public boolean delegatesInUse() {
			return true;
		}

		@Override
		public boolean isDelegate() {
			return false;
		}

		@Override
		public boolean isFirstDelegate() {
			return false;
		}

		@Override
		public List<Delegate> others() {
			return List.of(new Delegate("d1", this.delegate));
		}

	}

	/** Store that must not be called. */
	private static final class NoStore implements TableFeed {

		@Override
		public CompletionStage<ReadResult<Snapshot>> snapshot(String table) {
			throw new AssertionError("the store was called");
		}

		@Override
		public CompletionStage<ReadResult<Changes>> changes(String table, StoreVersion after, Duration wait) {
			throw new AssertionError("the store was called");
		}

	}

}
