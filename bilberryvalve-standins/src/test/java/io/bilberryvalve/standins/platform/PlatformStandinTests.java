package io.bilberryvalve.standins.platform;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.standins.TestClient;
import io.bilberryvalve.standins.fault.Faults;
import io.bilberryvalve.standins.http.StandinServer;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

class PlatformStandinTests {

	private static final String ROW = "/v1/tables/executions/rows/pavio%2Fk1";

	private final TestClient client = new TestClient();

	private final ManualClock clock = new ManualClock();

	private final StandinServer server = StandinServer.start("127.0.0.1", 0,
			new PlatformStandin(new PlatformSettings(20, 1000, 5, 1024, Duration.ofSeconds(3), List.of()), this.clock)
				.routes(),
			new Faults(this.clock));

	@AfterTry
	void close() throws Exception {
		this.server.close();
	}

	// Guards against a lost answer that also loses the write, which would hide double
	// execution.
	@Example
	void closesConnectionAfterTheWriteTookEffect() throws IOException {
		send("PUT", "/admin/faults", "{\"loseAnswers\": [{\"service\": \"tables\", \"count\": 1}]}");
		assertThatIOException().isThrownBy(() -> put("k1", 0, "token-a"));
		assertThat(send("GET", ROW, "").body()).contains("token-a");
		this.clock.advance(Duration.ofSeconds(1));
		assertThat(put("k1", 0, "token-b").statusCode()).isEqualTo(409);
		assertThat(put("k2", 0, "token-c").statusCode()).isEqualTo(200);
	}

	// Guards against a transaction that takes effect in part.
	@Example
	void conflictingTransactionChangesNothing() throws IOException {
		put("k1", 0, "a");
		HttpResponse<String> answer = send("POST", "/v1/transactions",
				"{\"operations\": [" + operation("k2", 0, "b") + "," + operation("k1", 0, "b") + "]}");
		assertThat(answer.statusCode()).isEqualTo(409);
		assertThat(answer.body()).isEqualTo("{\"conflicts\":[{\"index\":1,\"version\":1,\"value\":\"a\"}]}");
		assertThat(send("GET", "/v1/tables/executions/rows/pavio%2Fk2", "").statusCode()).isEqualTo(404);
		assertThat(send("GET", "/v1/tables/executions/rows?prefix=pavio%2F", "").body())
			.isEqualTo("{\"rows\":[{\"key\":\"pavio/k1\",\"version\":1,\"value\":\"a\"}]}");
	}

	// Guards against a store that is faster than the one it stands for.
	@Example
	void refusesWritesAboveTheRateUntilTimePasses() throws IOException {
		assertThat(put("k1", 0, "a").statusCode()).isEqualTo(200);
		assertThat(put("k2", 0, "a").statusCode()).isEqualTo(200);
		HttpResponse<String> refused = put("k3", 0, "a");
		assertThat(refused.statusCode()).isEqualTo(429);
		assertThat(refused.headers().firstValue("retry-after")).contains("1");
		this.clock.advance(Duration.ofMillis(50));
		assertThat(put("k3", 0, "a").statusCode()).isEqualTo(200);
		assertThat(put("k4", 0, "a").statusCode()).isEqualTo(429);
	}

	// Guards against an outage of one service that affects others.
	@Example
	void outageAffectsOneService() throws IOException {
		send("PUT", "/v1/objects/configuration/abc", "part");
		send("PUT", "/admin/faults", "{\"outages\": [\"tables\"]}");
		assertThat(put("k1", 0, "a").statusCode()).isEqualTo(503);
		assertThat(send("GET", "/v1/objects/configuration/abc", "").body()).isEqualTo("part");
		send("PUT", "/admin/faults", "{}");
		assertThat(put("k1", 0, "a").statusCode()).isEqualTo(200);
	}

	// Guards against a VM list that is more recent than the real one.
	@Example
	void vmListLags() throws IOException {
		send("PUT", "/admin/vms/pav-1", "{\"dataCentre\": \"south-1\", \"address\": \"127.0.0.1:8001\","
				+ " \"peerAddress\": \"127.0.0.1:8101\", \"state\": \"live\"}");
		this.clock.advance(Duration.ofMillis(2999));
		assertThat(send("GET", "/v1/vms", "").body()).isEqualTo("{\"vms\":[]}");
		this.clock.advance(Duration.ofMillis(1));
		assertThat(send("GET", "/v1/vms", "").body()).contains("\"vm\":\"pav-1\"");
	}

	// Guards against silent connections that recover, or new ones that are silent too.
	@Example
	void existingConnectionsGoSilentWhileNewOnesWork() throws IOException {
		put("k1", 0, "a");
		send("PUT", "/admin/faults", "{\"silenceExisting\": true}");
		assertThatIOException()
			.isThrownBy(() -> this.client.send(Duration.ofMillis(300), "GET", this.server.address(), ROW, ""));
		assertThat(new TestClient().send("GET", this.server.address(), ROW, "").statusCode()).isEqualTo(200);
	}

	private HttpResponse<String> put(String key, long expectVersion, String value) throws IOException {
		return send("POST", "/v1/transactions", "{\"operations\": [" + operation(key, expectVersion, value) + "]}");
	}

	private static String operation(String key, long expectVersion, String value) {
		return "{\"op\": \"put\", \"table\": \"executions\", \"key\": \"pavio/" + key + "\", \"expectVersion\": "
				+ expectVersion + ", \"value\": \"" + value + "\"}";
	}

	private HttpResponse<String> send(String method, String path, String body) throws IOException {
		return this.client.send(method, this.server.address(), path, body);
	}

}
