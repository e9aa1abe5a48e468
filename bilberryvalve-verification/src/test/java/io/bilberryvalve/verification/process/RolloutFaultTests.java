package io.bilberryvalve.verification.process;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;

import io.bilberryvalve.bench.process.LocalFederation;
import io.bilberryvalve.bench.process.LocalFederation.Plan;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Submissions that compete, and an entry that starts without the platform. Guards against
 * a lost submission, entries with different versions, and a version that goes back.
 */
class RolloutFaultTests {

	private static final int ROUNDS = 5;

	private static final int RESTARTED = 2;

	private static LocalFederation federation;

	private static ExecutorService operators;

	@BeforeContainer
	static void start() throws Exception {
		operators = Executors.newFixedThreadPool(2);
		federation = LocalFederation.start(new Plan(3, 1, 512, 4000));
	}

	@AfterContainer
	static void stop() {
		operators.shutdownNow();
		if (federation != null) {
			federation.close();
		}
	}

	@Example
	void acceptsOneOfTwoSubmissionsWithTheSameBase() throws Exception {
		for (int round = 0; round < ROUNDS; round++) {
			long base = federation.version(0);
			CyclicBarrier together = new CyclicBarrier(2);
			Future<HttpResponse<String>> one = submit(together, 0, "pavio", round, base);
			Future<HttpResponse<String>> two = submit(together, 1, "klokhuis", round, base);
			List<Integer> statuses = Stream.of(one.get().statusCode(), two.get().statusCode()).sorted().toList();
			assertThat(statuses).as("%s and %s", one.get().body(), two.get().body()).containsExactly(200, 409);
			String conflict = (one.get().statusCode() == 409) ? one.get().body() : two.get().body();
			assertThat(conflict).contains("not-run", "conflict");
			awaitVersion(base + 1);
		}
	}

	@Example
	void startsWithTheVersionOfItsPeersWithoutThePlatform() throws Exception {
		long base = federation.version(0);
		HttpResponse<String> accepted = federation.submitAt(0, "pavio", federation.clubDocument("pavio", 301),
				"before-outage", base);
		assertThat(accepted.statusCode()).as(accepted.body()).isEqualTo(200);
		awaitVersion(base + 1);
		federation.faults("platform", "{\"outages\": [\"tables\", \"objects\", \"weights\", \"vms\"]}");
		try {
			federation.processes().kill("entry-" + RESTARTED);
			federation.processes().awaitExit("entry-" + RESTARTED);
			federation.startEntry(RESTARTED);
			federation.awaitEntry(RESTARTED, 0);
			assertThat(federation.version(RESTARTED)).as("version when the entry is ready").isEqualTo(base + 1);
			assertThat(federation.client(RESTARTED).complete("pavio", 300, (partial) -> {
			}).whole(0, 300)).as("reply under the version of the peers").isTrue();
		}
		finally {
			federation.faults("platform", "{}");
		}
	}

	private static Future<HttpResponse<String>> submit(CyclicBarrier together, int entry, String club, int round,
			long base) {
		return operators.submit(() -> {
			together.await();
			return federation.submitAt(entry, club, federation.clubDocument(club, 200 + round), club + "-" + round,
					base);
		});
	}

	private static void awaitVersion(long version) throws Exception {
		for (int entry = 0; entry < federation.entries(); entry++) {
			federation.awaitEntry(entry, version);
			assertThat(federation.version(entry)).as("version of entry %s", entry).isEqualTo(version);
		}
	}

}
