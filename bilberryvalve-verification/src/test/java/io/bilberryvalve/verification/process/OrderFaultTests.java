package io.bilberryvalve.verification.process;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberryvalve.bench.process.ClientReply;
import io.bilberryvalve.bench.process.LocalFederation;
import io.bilberryvalve.bench.process.LocalFederation.Plan;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeContainer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Orders while the table service or the application runner fails. Guards against an order
 * that is placed twice, and against the outcome not-run for an order that was placed.
 */
class OrderFaultTests {

	private static final String ORDER = "{\"item\": \"candle stand refill\"}";

	private static final Duration DEADLINE = Duration.ofSeconds(4);

	private static final Duration SHORT_DEADLINE = Duration.ofMillis(800);

	private static final ObjectMapper JSON = new ObjectMapper();

	private static LocalFederation federation;

	private static ExecutorService callers;

	@BeforeContainer
	static void start() throws Exception {
		callers = Executors.newFixedThreadPool(2);
		federation = LocalFederation.start(new Plan(2, 1, 512, 4000));
	}

	@AfterContainer
	static void stop() {
		callers.shutdownNow();
		if (federation != null) {
			federation.close();
		}
	}

	@AfterTry
	void endFaults() throws Exception {
		federation.faults("platform", "{}");
	}

	@Property(seed = "41", tries = 8)
	void placesAnOrderOnceAlthoughTwoAnswersOfTheStoreAreLost(@ForAll Random random) throws Exception {
		String key = "lost-" + Long.toHexString(random.nextLong());
		int first = random.nextInt(2);
		federation.faults("platform", "{\"loseAnswers\": [{\"service\": \"tables\", \"count\": 2}]}");
		Future<Answer> one = callers.submit(() -> place(first, key, DEADLINE));
		Future<Answer> two = callers.submit(() -> place(1 - first, key, DEADLINE));
		List<Answer> answers = List.of(one.get(), two.get());
		long executions = executions(key);
		assertThat(executions).as("executions after %s", answers).isLessThanOrEqualTo(1);
		if (answers.stream().anyMatch(Answer::answered)) {
			assertThat(executions).as("executions after %s", answers).isEqualTo(1);
			assertThat(answers).filteredOn(Answer::answered).extracting(Answer::receipt).containsOnly(receipt(answers));
		}
		if (answers.stream().anyMatch((answer) -> answer.outcome().equals("not-run"))) {
			assertThat(executions).as("executions after %s", answers).isZero();
		}
		federation.faults("platform", "{}");
		Answer repeated = place(first, key, DEADLINE);
		assertThat(repeated.outcome()).as("outcome of a repetition after %s", answers).isNotEqualTo("not-run");
		assertThat(executions(key)).as("executions after a repetition").isLessThanOrEqualTo(1);
	}

	@Example
	void refusesNewOrdersWithoutTheStoreAndRepeatsNothingAfterwards() throws Exception {
		assertThat(place(0, "before", DEADLINE).answered()).isTrue();
		federation.faults("platform", "{\"outages\": [\"tables\"]}");
		for (int i = 0; i < 8; i++) {
			Answer refused = place(i % 2, "outage-" + i / 2, SHORT_DEADLINE);
			assertThat(refused.outcome()).as("order %s in the outage", i).isEqualTo("not-run");
			ClientReply reply = federation.client(i % 2).complete("pavio", 20, (partial) -> {
			});
			assertThat(reply.whole(0, 20)).as("reply %s in the outage: %s", i, reply.fault()).isTrue();
		}
		for (int i = 0; i < 4; i++) {
			assertThat(executions("outage-" + i)).isZero();
		}
		federation.faults("platform", "{}");
		federation.await("entry-0", () -> place(0, "outage-0", DEADLINE).answered());
		for (int i = 0; i < 8; i++) {
			int order = i;
			federation.await("entry-" + i % 2, () -> place(order % 2, "outage-" + order / 2, DEADLINE).answered());
		}
		for (int i = 0; i < 4; i++) {
			assertThat(executions("outage-" + i)).as("executions of order %s after the outage", i).isEqualTo(1);
		}
		place(1, "before", DEADLINE);
		assertThat(executions("before")).isEqualTo(1);
	}

	@Example
	void repeatsNoOrderWhoseRunnerIsFrozen() throws Exception {
		federation.processes().freeze("orders");
		try {
			assertThat(place(0, "frozen", SHORT_DEADLINE).outcome()).isEqualTo("unknown");
			assertThat(place(1, "frozen", SHORT_DEADLINE).outcome()).isEqualTo("unknown");
		}
		finally {
			federation.processes().thaw("orders");
		}
		federation.await("orders", () -> executions("frozen") > 0);
		Answer repeated = place(1, "frozen", DEADLINE);
		assertThat(repeated.outcome()).isNotEqualTo("not-run");
		assertThat(place(0, "after-frozen", DEADLINE).answered()).isTrue();
		assertThat(executions("frozen")).isEqualTo(1);
	}

	@Example
	void repeatsNoOrderWhoseRunnerDied() throws Exception {
		restart(Duration.ofMinutes(1));
		Future<Answer> lost = callers.submit(() -> place(0, "killed", DEADLINE));
		federation.await("orders",
				() -> JSON.readTree(federation.read("orders", "/admin/calls")).get("received").asLong() == 1);
		restart(Duration.ZERO);
		assertThat(lost.get().outcome()).isEqualTo("unknown");
		for (int i = 0; i < 4; i++) {
			assertThat(place(i % 2, "killed", SHORT_DEADLINE).outcome()).as("repetition %s", i).isEqualTo("unknown");
		}
		federation.await("entry-1", () -> place(1, "after-killed", DEADLINE).answered());
		assertThat(executions("killed")).as("executions at the runner that was started again").isZero();
	}

	private static void restart(Duration delay) throws Exception {
		federation.processes().kill("orders");
		federation.restartApplication(delay);
	}

	private static String receipt(List<Answer> answers) {
		return answers.stream().filter(Answer::answered).findFirst().orElseThrow().receipt();
	}

	private static Answer place(int entry, String key, Duration deadline) throws Exception {
		HttpResponse<String> response = federation.client(entry).call("place", key, ORDER, deadline);
		JsonNode body = JSON.readTree(response.body());
		return new Answer(response.statusCode(), body.path("outcome").asText(), body.path("receipt").asText(),
				response.body());
	}

	private static long executions(String key) throws Exception {
		long count = 0;
		for (JsonNode item : JSON.readTree(federation.read("orders", "/v1/executions")).get("executions")) {
			count += matches(item.path("key").asText(), key) ? item.get("count").asLong() : 0;
		}
		return count;
	}

	// An entry may put the club before the key that it passes on.
	private static boolean matches(String passedOn, String key) {
		return passedOn.equals(key) || passedOn.endsWith("/" + key);
	}

	private record Answer(int status, String outcome, String receipt, String body) {

		boolean answered() {
			return this.status == 200;
		}

	}

}
