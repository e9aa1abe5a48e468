package io.bilberryvalve.platform.http;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.platform.Commit;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.Operation;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.StoreFailure;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a write that is reported as refused although it may have taken effect,
 * and against a request that reaches the service twice.
 */
class HttpTablesTests {

	private static final Duration SHORT = Duration.ofMillis(300);

	private static final Duration LONG = Duration.ofSeconds(10);

	private static final List<Operation> PUT = List.of(new Operation.Put("t", "a/b", 0L, "x"));

	@Example
	void readsVersionsAndConflicts() throws Exception {
		String conflict = "{\"conflicts\":[{\"index\":0,\"version\":3,\"value\":\"y\"}]}";
		try (StubServer server = new StubServer(StubServer.answer(200, "{\"versions\":[1]}"),
				StubServer.answer(409, conflict)); HttpService service = service(LONG, server.address())) {
			HttpTables tables = new HttpTables(service);
			assertThat(get(tables.commit(PUT))).isEqualTo(new Commit.Committed(List.of(1L)));
			assertThat(get(tables.commit(PUT)))
				.isEqualTo(new Commit.Conflict(List.of(new Commit.ConflictRow(0, 3, "y"))));
		}
	}

	@Example
	void reportsRefusalsAsWithoutEffect() throws Exception {
		try (StubServer server = new StubServer(StubServer.answer(429, ""), StubServer.answer(503, ""));
				HttpService service = service(LONG, server.address())) {
			HttpTables tables = new HttpTables(service);
			assertThat(kind(get(tables.commit(PUT)))).isEqualTo(StoreFailure.Kind.RATE_LIMITED);
			assertThat(kind(get(tables.commit(PUT)))).isEqualTo(StoreFailure.Kind.OUTAGE);
		}
	}

	@Example
	void reportsLostAndDamagedAnswersAsUnknown() throws Exception {
		try (StubServer server = new StubServer("", StubServer.answer(200, "{}"), StubServer.answer(500, ""));
				HttpService service = service(LONG, server.address())) {
			HttpTables tables = new HttpTables(service);
			for (int i = 0; i < 3; i++) {
				assertThat(get(tables.commit(PUT))).isInstanceOf(Commit.Unknown.class);
			}
			assertThat(server.requests()).isEqualTo(3);
		}
	}

	@Example
	void replacesSilentConnectionAndUsesOtherAddress() throws Exception {
		String answer = StubServer.answer(200, "{\"versions\":[1]}");
		try (StubServer silent = new StubServer();
				StubServer live = new StubServer(answer, answer);
				HttpService service = service(SHORT, silent.address(), live.address())) {
			HttpTables tables = new HttpTables(service);
			Commit first = get(tables.commit(PUT));
			assertThat(((Commit.Unknown) first).failure().kind()).isEqualTo(StoreFailure.Kind.TIMEOUT);
			assertThat(get(tables.commit(PUT))).isInstanceOf(Commit.Committed.class);
			assertThat(get(tables.commit(PUT))).isInstanceOf(Commit.Committed.class);
			assertThat(silent.requests()).isOne();
		}
	}

	@Example
	void opensNewConnectionAfterSilence() throws Exception {
		String row = StubServer.answer(200, "{\"version\":2,\"value\":\"x\"}");
		try (StubServer server = new StubServer(row); HttpService service = service(SHORT, server.address())) {
			HttpTables tables = new HttpTables(service);
			assertThat(get(tables.read("t", "k"))).isEqualTo(new Fetched.Found<>(new Row("t", "k", 2, "x")));
			assertThat(get(tables.read("t", "k"))).isInstanceOf(Fetched.Failed.class);
			assertThat(get(tables.read("t", "k"))).isInstanceOf(Fetched.Failed.class);
			assertThat(server.requests()).isEqualTo(3);
		}
	}

	@Example
	void movesToNextAddressAfterRefusedConnection() throws Exception {
		StubServer closed = new StubServer();
		closed.close();
		try (StubServer live = new StubServer(StubServer.answer(200, "{\"versions\":[1]}"));
				HttpService service = service(LONG, closed.address(), live.address())) {
			assertThat(get(new HttpTables(service).commit(PUT))).isInstanceOf(Commit.Committed.class);
		}
		try (HttpService service = service(LONG, closed.address())) {
			Commit refused = get(new HttpTables(service).commit(PUT));
			assertThat(kind(refused)).isEqualTo(StoreFailure.Kind.UNREACHABLE);
		}
	}

	private static HttpService service(Duration timeout, Address... addresses) {
		return new HttpService(List.of(addresses), Duration.ofSeconds(2), timeout);
	}

	private static StoreFailure.Kind kind(Commit commit) {
		return ((Commit.Refused) commit).failure().kind();
	}

	private static <T> T get(CompletionStage<T> stage) throws Exception {
		return stage.toCompletableFuture().get(20, TimeUnit.SECONDS);
	}

}
