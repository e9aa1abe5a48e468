package io.bilberryvalve.bench;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.bench.process.ClientReply;
import io.bilberryvalve.bench.process.LocalFederation;
import io.bilberryvalve.bench.process.LocalFederation.Plan;

/**
 * Time that an entry adds to the first token and to each further token, against a direct
 * connection to the same engine in the same run.
 */
final class Overhead implements Experiment {

	private static final int TOKENS = 50;

	private static final int WARM_UP = 30;

	private static final int REPLIES_PER_SEED = 10;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double MILLIS = 1000;

	private static final ObjectMapper JSON = new ObjectMapper();

	private final HttpClient http = HttpClient.newHttpClient();

	private int streams;

	@Override
	public String name() {
		return "overhead";
	}

	@Override
	public List<Figure> run(List<Long> seeds) throws Exception {
		try (LocalFederation federation = LocalFederation.start(new Plan(2, 1, 64, 100_000))) {
			Supplier<Times> routed = () -> routed(federation);
			Supplier<Times> direct = () -> direct(federation);
			for (int i = 0; i < WARM_UP; i++) {
				routed.get();
				direct.get();
			}
			List<Times> through = new ArrayList<>();
			List<Times> without = new ArrayList<>();
			for (int i = 0; i < seeds.size() * REPLIES_PER_SEED; i++) {
				through.add(routed.get());
				without.add(direct.get());
			}
			return List.of(
					new Figure("overhead_first_token", first(through), "ms", first(without),
							"median time to the first token through an entry; baseline: direct to the engine"),
					new Figure("overhead_token", each(through), "ms", each(without),
							"median time for each further token through an entry; baseline: direct to the engine"));
		}
	}

	private static double first(List<Times> times) {
		return Median.of(times.stream().mapToDouble(Times::first).toArray()) * MILLIS;
	}

	private static double each(List<Times> times) {
		return Median.of(times.stream().mapToDouble((time) -> (time.total - time.first) / (TOKENS - 1)).toArray())
				* MILLIS;
	}

	private static Times routed(LocalFederation federation) {
		ClientReply reply = federation.client(0).complete("pavio", TOKENS, (partial) -> {
		});
		if (!reply.whole(0, TOKENS)) {
			throw new IllegalStateException("the reply is not whole: " + reply.fault());
		}
		return new Times(reply.firstTokenSeconds(), reply.totalSeconds());
	}

	private Times direct(LocalFederation federation) {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://" + federation.address("engine-0") + "/v1/streams"))
			.header("content-type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(order(federation)))
			.build();
		long start = System.nanoTime();
		try (Stream<String> lines = this.http.send(request, HttpResponse.BodyHandlers.ofLines()).body()) {
			List<Long> tokens = lines.filter((line) -> line.startsWith("id:"))
				.map((line) -> System.nanoTime())
				.toList();
			return new Times((tokens.get(0) - start) / NANOS_PER_SECOND,
					(tokens.get(TOKENS - 1) - start) / NANOS_PER_SECOND);
		}
		catch (Exception ex) {
			throw new IllegalStateException("the engine did not answer", ex);
		}
	}

	private String order(LocalFederation federation) {
		ObjectNode order = JSON.createObjectNode();
		order.put("stream", "direct_1_" + this.streams++).put("epoch", 1).put("tenant", "pavio").put("model", "m");
		order.put("version", "1").putNull("adapter").put("prompt", "two boxes of wax cups please");
		order.putArray("delivered");
		order.put("from", 0).put("max_tokens", TOKENS).put("priority", 0);
		ArrayNode chain = order.putArray("chain");
		for (int i = 0; i < 2; i++) {
			int first = i * LocalFederation.LAYERS / 2;
			chain.addObject()
				.put("runner", "engine-" + i)
				.put("address", federation.address("engine-" + i).toString())
				.put("first", first)
				.put("end", first + LocalFederation.LAYERS / 2);
		}
		return order.toString();
	}

	/**
	 * Times of a reply.
	 *
	 * @param first time to the first token in seconds
	 * @param total time to the last token in seconds
	 */
	private record Times(double first, double total) {

	}

}
