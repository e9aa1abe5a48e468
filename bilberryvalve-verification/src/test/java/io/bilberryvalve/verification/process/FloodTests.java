package io.bilberryvalve.verification.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.bilberryvalve.bench.process.ClientReply;
import io.bilberryvalve.bench.process.LocalFederation;
import io.bilberryvalve.bench.process.LocalFederation.Plan;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A club that asks for much more than the engines can give. Guards against a quiet club
 * that is refused or waits behind the requests of the other one.
 */
class FloodTests {

	private static final int FLOODING_CALLERS = 64;

	private static final int TOKENS = 40;

	private static final int QUIET_REPLIES = 5;

	private static final long START_SECONDS = 20;

	@Example
	void servesAQuietClubWhileTheOtherFloods() throws Exception {
		ExecutorService threads = Executors.newFixedThreadPool(FLOODING_CALLERS);
		try (LocalFederation federation = LocalFederation.start(new Plan(2, 1, 64, 3000))) {
			AtomicBoolean stopped = new AtomicBoolean();
			CountDownLatch flooding = new CountDownLatch(FLOODING_CALLERS);
			List<Future<List<ClientReply>>> flood = new ArrayList<>();
			for (int i = 0; i < FLOODING_CALLERS; i++) {
				int entry = i % 2;
				flood.add(threads.submit(() -> flood(federation, entry, flooding, stopped)));
			}
			assertThat(flooding.await(START_SECONDS, TimeUnit.SECONDS)).as("flood has started").isTrue();
			List<ClientReply> quiet = new ArrayList<>();
			for (int i = 0; i < QUIET_REPLIES; i++) {
				quiet.add(federation.client(i % 2).complete("klokhuis", TOKENS, (partial) -> {
				}));
			}
			stopped.set(true);
			assertThat(quiet).allSatisfy((reply) -> assertThat(reply.whole(0, TOKENS))
				.as("%s tokens, status %s, %s", reply.size(), reply.status(), reply.fault())
				.isTrue());
			List<Double> waits = new ArrayList<>();
			for (Future<List<ClientReply>> caller : flood) {
				caller.get()
					.stream()
					.filter((reply) -> reply.size() > 0)
					.forEach((reply) -> waits.add(reply.firstTokenSeconds()));
			}
			// Refused requests have no wait; those that were served show how long the
			// club waits.
			assertThat(waits).hasSizeGreaterThanOrEqualTo(FLOODING_CALLERS / 2);
			waits.sort(null);
			double median = waits.get(waits.size() / 2);
			assertThat(quiet).as("median wait of the flooding club is %s s", median)
				.allSatisfy((reply) -> assertThat(reply.firstTokenSeconds()).isLessThan(median));
		}
		finally {
			threads.shutdownNow();
		}
	}

	private static List<ClientReply> flood(LocalFederation federation, int entry, CountDownLatch flooding,
			AtomicBoolean stopped) {
		List<ClientReply> replies = new ArrayList<>();
		while (!stopped.get()) {
			flooding.countDown();
			replies.add(federation.client(entry).complete("pavio", TOKENS, (partial) -> {
			}));
		}
		return replies;
	}

}
