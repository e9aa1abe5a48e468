package io.bilberryvalve.standins.engine;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberryvalve.standins.TestClient;
import io.bilberryvalve.standins.http.Json;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;

class EngineStandinTests {

	private static final String PROMPT = "two boxes of candle stand refills";

	private final TestClient client = new TestClient();

	private final TestEngine front = new TestEngine("r1", 0, 6);

	private final TestEngine back = new TestEngine("r2", 6, 16);

	@AfterTry
	void close() throws Exception {
		this.front.close();
		this.back.close();
	}

	// Guards against a chain that skips or repeats layers, or changes the reply.
	@Example
	void executesEachLayerOncePerTokenInOrder() throws IOException {
		HttpResponse<String> answer = start("s", 1, 0, 8, this.front, this.back);
		List<JsonNode> events = tokens(answer.body());
		assertThat(text(events)).isEqualTo(ReplyText.whole("m", PROMPT, 8));
		assertThat(answer.body()).endsWith("data: [DONE]\n\n");
		for (JsonNode event : events) {
			assertThat(event.path("layers"))
				.hasToString("[{\"runner\":\"r1\",\"first\":0,\"end\":6},{\"runner\":\"r2\",\"first\":6,\"end\":16}]");
		}
		assertThat(executed(this.front, "s")).containsExactlyElementsOf(once(1, 0, 8));
		assertThat(executed(this.back, "s")).containsExactlyElementsOf(once(1, 0, 8));
	}

	// Guards against lost or repeated tokens when a client reads the stream again.
	@Example
	void resumesReplyAtRequestedIndex() throws IOException {
		start("s", 1, 0, 8, this.front, this.back);
		String resumed = this.client.send("GET", this.front.address(), "/v1/streams/s?from=5", "").body();
		assertThat(tokens(resumed)).extracting((event) -> event.path("index").asInt()).containsExactly(5, 6, 7);
	}

	// Guards against a replacement chain that starts over or skips tokens.
	@Example
	void continuesAfterDeliveredTokensInNewEpoch() throws Exception {
		start("s", 1, 0, 3, this.front, this.back);
		try (TestEngine spare = new TestEngine("r3", 6, 16)) {
			List<JsonNode> events = tokens(start("s", 2, 3, 8, this.front, spare).body());
			assertThat(events).extracting((event) -> event.path("index").asInt()).containsExactly(3, 4, 5, 6, 7);
			assertThat(executed(spare, "s")).containsExactlyElementsOf(once(2, 3, 8));
		}
	}

	// Guards against work of a cancelled epoch that goes on at a later stage.
	@Example
	void refusesStepsOfCancelledEpochs() throws IOException {
		start("s", 1, 0, 2, this.front, this.back);
		this.client.send("DELETE", this.back.address(), "/v1/streams/s?epoch=2", "");
		String decode = "{\"epoch\":1,\"phase\":\"decode\",\"at\":1,\"index\":2,\"start\":7,\"end\":8}";
		assertThat(this.client.send("POST", this.back.address(), "/v1/streams/s/steps", decode).statusCode())
			.isEqualTo(409);
		assertThat(start("s", 2, 2, 4, this.front, this.back).body()).contains("event: problem")
			.contains("\"runner\":\"r2\"");
		assertThat(executed(this.back, "s")).containsExactlyElementsOf(once(1, 0, 2));
		assertThat(tokens(start("s", 3, 2, 4, this.front, this.back).body())).hasSize(2);
	}

	// Guards against an engine that computes layers that it does not hold.
	@Example
	void refusesLayersThatItDoesNotHold() throws IOException {
		String request = request("s", 1, 0, 4, this.front.stage().replace("\"end\":6", "\"end\":7"));
		HttpResponse<String> answer = this.client.send("POST", this.front.address(), "/v1/streams", request);
		assertThat(answer.statusCode()).isEqualTo(409);
		assertThat(answer.body()).contains("this engine holds m 1 [0, 6)");
	}

	// Guards against a failed later stage that shows only as silence.
	@Example
	void namesTheStageThatStoppedInMidReply() throws Exception {
		this.client.send("PUT", this.back.address(), "/admin/faults", "{\"stopAfterTokens\": 3}");
		String body = start("s", 1, 0, 8, this.front, this.back).body();
		assertThat(tokens(body)).hasSize(2);
		assertThat(body).contains("event: problem").contains("\"runner\":\"r2\"").doesNotContain("[DONE]");
	}

	// Guards against keep-alives that hide a silent later stage from the client for good.
	@Example
	void reportsASilentStageAfterTheStepTimeout() throws IOException {
		start("s", 1, 0, 2, this.front, this.back);
		this.client.send("PUT", this.back.address(), "/admin/faults", "{\"silenceExisting\": true}");
		assertThat(start("t", 1, 0, 2, this.front, this.back).body()).contains(": keep-alive")
			.contains("event: problem")
			.contains("\"runner\":\"r2\"");
		assertThat(tokens(start("t", 2, 0, 2, this.front, this.back).body())).hasSize(2);
	}

	// Guards against a rebuild of KV data that has been imported.
	@Example
	void importedKvDataNeedsNoRecomputation() throws Exception {
		start("s", 1, 0, 4, this.front, this.back);
		try (TestEngine spare = new TestEngine("r3", 6, 16)) {
			JsonNode imported = this.client.json("POST", spare.address(), "/v1/kv/s/pull",
					"{\"from\":\"" + this.back.address() + "\",\"epoch\":2}");
			assertThat(imported.path("positions").asInt()).isEqualTo(9);
			String open = "{\"epoch\":2,\"phase\":\"open\",\"at\":1,\"index\":4,\"start\":0,\"end\":0,\"open\":"
					+ request("s", 2, 4, 8, this.front.stage() + "," + spare.stage()) + "}";
			JsonNode opened = this.client.json("POST", spare.address(), "/v1/streams/s/steps", open);
			assertThat(opened.path("positions").asInt()).isEqualTo(9);
		}
	}

	// Guards against an order of a former lease holder, and against one without
	// credentials.
	@Example
	void refusesOldFencingNumbersUnlessItIgnoresThem() throws Exception {
		assertThat(order(this.front, 5).statusCode()).isEqualTo(200);
		assertThat(order(this.front, 4).statusCode()).isEqualTo(409);
		try (TestEngine ignoring = new TestEngine("r4", 0, 6, false, "secret")) {
			assertThat(order(ignoring, 5).statusCode()).isEqualTo(401);
			assertThat(order(ignoring, 5, "authorization", "Bearer secret").statusCode()).isEqualTo(200);
			assertThat(order(ignoring, 4, "authorization", "Bearer secret").statusCode()).isEqualTo(200);
			assertThat(this.client.json("GET", ignoring.address(), "/admin/orders", "").path("orders")).hasSize(2);
		}
	}

	// Guards against an event stream whose silence cannot be told from slow work.
	@Example
	void stalledStreamSendsNeitherTokensNorEnd() throws IOException {
		this.client.send("PUT", this.front.address(), "/admin/faults", "{\"stallAfterTokens\": 2}");
		HttpResponse<Stream<String>> answer = this.client.lines(this.front.address(), "/v1/streams",
				request("s", 1, 0, 8, this.front.stage() + "," + this.back.stage()));
		assertThat(answer.body().filter((line) -> line.startsWith("id: ")).limit(2)).containsExactly("id: 0", "id: 1");
		this.client.send("PUT", this.front.address(), "/admin/faults", "{}");
		assertThat(tokens(this.client.send("GET", this.front.address(), "/v1/streams/s?from=2", "").body())).hasSize(6);
	}

	private HttpResponse<String> order(TestEngine engine, int fencing, String... headers) throws IOException {
		return this.client.send("POST", engine.address(), "/v1/orders",
				"{\"fencing\":" + fencing + ",\"action\":\"drain\"}", headers);
	}

	private HttpResponse<String> start(String stream, int epoch, int from, int maxTokens, TestEngine first,
			TestEngine second) throws IOException {
		String request = request(stream, epoch, from, maxTokens, first.stage() + "," + second.stage());
		return this.client.send("POST", first.address(), "/v1/streams", request);
	}

	private static String request(String stream, int epoch, int from, int maxTokens, String chain) {
		List<String> delivered = IntStream.range(0, from).mapToObj((i) -> ReplyText.token("m", PROMPT, i)).toList();
		return "{\"stream\":\"" + stream + "\",\"epoch\":" + epoch
				+ ",\"tenant\":\"pavio\",\"model\":\"m\",\"version\":\"1\",\"adapter\":null,\"prompt\":\"" + PROMPT
				+ "\",\"delivered\":" + Json.write(delivered) + ",\"from\":" + from + ",\"max_tokens\":" + maxTokens
				+ ",\"priority\":0,\"chain\":[" + chain + "]}";
	}

	private static List<JsonNode> tokens(String body) {
		List<JsonNode> events = new ArrayList<>();
		for (String line : body.split("\n")) {
			if (line.startsWith("data: {\"stream\"")) {
				events.add(Json.tree(line.substring("data: ".length()).getBytes()));
			}
		}
		return events;
	}

	private static String text(List<JsonNode> events) {
		return events.stream().map((event) -> event.path("text").asText()).collect(Collectors.joining());
	}

	private List<String> executed(TestEngine engine, String stream) throws IOException {
		List<String> entries = new ArrayList<>();
		for (JsonNode entry : this.client.json("GET", engine.address(), "/admin/executions?stream=" + stream, "")
			.path("executions")) {
			entries.add(entry.path("epoch") + "/" + entry.path("index") + " x " + entry.path("count"));
		}
		return entries;
	}

	private static List<String> once(int epoch, int from, int to) {
		return IntStream.range(from, to).mapToObj((index) -> epoch + "/" + index + " x 1").toList();
	}

}
