package io.bilberryvalve.platform.http;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.StoreFailure;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a write that is reported as refused although it may have taken effect,
 * and against a request that reaches the service twice.
 */
class HttpTableServiceTests {

	private static final Duration SHORT = Duration.ofMillis(300);

	private static final Duration LONG = Duration.ofSeconds(10);

	private static final List<RowOperation> PUT = List.of(new RowOperation.Put("t", "a/b", 0L, "x"));

	@Example
	void readsVersionsAndConflicts() throws Exception {
		String conflict = "{\"conflicts\":[{\"index\":0,\"version\":3,\"value\":\"y\"}]}";
		try (StubServer server = new StubServer(StubServer.response(200, "{\"versions\":[1]}"),
				StubServer.response(409, conflict)); FailoverHttpClient service = service(LONG, server.address())) {
			HttpTableService tables = new HttpTableService(service);
			assertThat(get(tables.commit(PUT))).isEqualTo(new CommitResult.Committed(List.of(1L)));
			assertThat(get(tables.commit(PUT)))
				.isEqualTo(new CommitResult.Conflict(List.of(new CommitResult.ConflictRow(0, 3, "y"))));
		}
	}

	@Example
	void reportsRefusedRequestsAsRefused() throws Exception {
		try (StubServer server = new StubServer(StubServer.response(429, ""), StubServer.response(503, ""));
				FailoverHttpClient service = service(LONG, server.address())) {
			HttpTableService tables = new HttpTableService(service);
			assertThat(kind(get(tables.commit(PUT)))).isEqualTo(StoreFailure.Kind.RATE_LIMITED);
			assertThat(kind(get(tables.commit(PUT)))).isEqualTo(StoreFailure.Kind.OUTAGE);
		}
	}

	@Example
	void reportsLostAndDamagedResponsesAsUnknown() throws Exception {
		try (StubServer server = new StubServer("", StubServer.response(200, "{}"), StubServer.response(500, ""));
				FailoverHttpClient service = service(LONG, server.address())) {
			HttpTableService tables = new HttpTableService(service);
			for (int i = 0; i < 3; i++) {
				assertThat(get(tables.commit(PUT))).isInstanceOf(CommitResult.Unknown.class);
			}
			assertThat(server.requests()).isEqualTo(3);
		}
	}

	// Guards against requests that all wait on an address that accepts connections but
	// never responds.
	@Example
	void usesNextAddressAfterTimeout() throws Exception {
		String answer = StubServer.response(200, "{\"versions\":[1]}");
		try (StubServer silent = new StubServer();
				StubServer live = new StubServer(answer, answer);
				FailoverHttpClient service = service(SHORT, silent.address(), live.address())) {
			HttpTableService tables = new HttpTableService(service);
			CommitResult first = get(tables.commit(PUT));
			assertThat(((CommitResult.Unknown) first).failure().kind()).isEqualTo(StoreFailure.Kind.TIMEOUT);
			assertThat(get(tables.commit(PUT))).isInstanceOf(CommitResult.Committed.class);
			assertThat(get(tables.commit(PUT))).isInstanceOf(CommitResult.Committed.class);
			assertThat(silent.requests()).isOne();
		}
	}

	// Guards against later requests on a connection whose previous request got no
	// response.
	@Example
	void opensNewConnectionAfterTimeout() throws Exception {
		String row = StubServer.response(200, "{\"version\":2,\"value\":\"x\"}");
		try (StubServer server = new StubServer(row); FailoverHttpClient service = service(SHORT, server.address())) {
			HttpTableService tables = new HttpTableService(service);
			assertThat(get(tables.read("t", "k"))).isEqualTo(new ReadResult.Found<>(new Row("t", "k", 2, "x")));
			assertThat(get(tables.read("t", "k"))).isInstanceOf(ReadResult.Failed.class);
			assertThat(get(tables.read("t", "k"))).isInstanceOf(ReadResult.Failed.class);
			assertThat(server.requests()).isEqualTo(3);
		}
	}

	@Example
	void usesNextAddressAfterRefusedConnection() throws Exception {
		StubServer closed = new StubServer();
		closed.close();
		try (StubServer live = new StubServer(StubServer.response(200, "{\"versions\":[1]}"));
				FailoverHttpClient service = service(LONG, closed.address(), live.address())) {
			assertThat(get(new HttpTableService(service).commit(PUT))).isInstanceOf(CommitResult.Committed.class);
		}
		try (FailoverHttpClient service = service(LONG, closed.address())) {
			CommitResult refused = get(new HttpTableService(service).commit(PUT));
			assertThat(kind(refused)).isEqualTo(StoreFailure.Kind.UNREACHABLE);
		}
	}

	private static FailoverHttpClient service(Duration timeout, Address... addresses) {
		return new FailoverHttpClient(List.of(addresses), Duration.ofSeconds(2), timeout);
	}

	private static StoreFailure.Kind kind(CommitResult commit) {
		return ((CommitResult.Refused) commit).failure().kind();
	}

	private static <T> T get(CompletionStage<T> stage) throws Exception {
		return stage.toCompletableFuture().get(20, TimeUnit.SECONDS);
	}

}
