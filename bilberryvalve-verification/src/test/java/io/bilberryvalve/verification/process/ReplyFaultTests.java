package io.bilberryvalve.verification.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

import io.bilberryvalve.bench.process.ClientReply;
import io.bilberryvalve.bench.process.EntryClient;
import io.bilberryvalve.bench.process.LocalFederation;
import io.bilberryvalve.bench.process.LocalFederation.Plan;
import io.bilberryvalve.model.EventId;
import io.bilberryvalve.standins.engine.ReplyText;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replies during which an engine, its connections or the entry fail. Guards against
 * replies with lost, repeated or foreign tokens, layers that run twice or not at all for
 * a delivered token, and a silent connection that costs its time limit more than once.
 */
class ReplyFaultTests {

	private static final int TOKENS = 200;

	private static final int FAULT_INDEX = 20;

	private static final int IDLE_CONNECTIONS = 9;

	private static final int SHORT_REPLY = 10;

	private static final int MAX_SHORT_REPLIES = 100;

	private static final int SILENCES = 4;

	/** Progress deadline of section 5.2: the time in which a silent stage is noticed. */
	private static final double DETECTION_SECONDS = 1;

	private static LocalFederation federation;

	@BeforeContainer
	static void start() throws Exception {
		federation = LocalFederation.start(new Plan(3, 3, 512, 4000));
	}

	@AfterContainer
	static void stop() {
		if (federation != null) {
			federation.close();
		}
	}

	@Example
	void replyIsWholeAfterTheDeathOfTheFirstStage() throws Exception {
		replyIsWholeAfterTheDeathOfStage(true);
	}

	@Example
	void replyIsWholeAfterTheDeathOfTheLastStage() throws Exception {
		replyIsWholeAfterTheDeathOfStage(false);
	}

	@Example
	void replyIsWholeAfterAStageIsFrozenAndContinued() throws Exception {
		ClientReply reply = complete(0, TOKENS, new Consumer<>() {

			private boolean frozen;

			private boolean continued;

			private String stage = "";

			@Override
			public void accept(ClientReply partial) {
				if (!this.frozen && partial.size() == FAULT_INDEX) {
					this.stage = partial.runner();
					attempt(() -> freeze(this.stage));
					this.frozen = true;
				}
				else if (this.frozen && !this.continued && last(partial).epoch() > 1) {
					attempt(() -> thaw(this.stage));
					this.continued = true;
				}
			}
		});
		assertWhole(reply, TOKENS);
		assertThat(last(reply).epoch()).as("epoch of the last token").isGreaterThan(1);
		assertThat(reply.positions()).extracting(EventId::epoch).isSorted();
		LayerExecutions executions = new LayerExecutions(federation);
		executions.readOthers(last(reply));
		executions.assertOnce(reply.positions());
	}

	@Example
	void replyIsWholeAfterTheDeathOfItsEntry() throws Exception {
		int lost = federation.entries() - 1;
		ClientReply cut = complete(lost, TOKENS, (partial) -> {
			if (partial.size() == FAULT_INDEX) {
				federation.processes().kill("entry-" + lost);
			}
		});
		ClientReply rest = federation.client(0).resume("pavio", TOKENS, String.valueOf(cut.lastEvent()));
		assertThat(cut.size()).isBetween(FAULT_INDEX, TOKENS - 1);
		assertThat(rest.whole(cut.size(), TOKENS)).as("rest of the reply: %s tokens, %s", rest.size(), rest.fault())
			.isTrue();
		assertThat(cut.text() + rest.text()).isEqualTo(ReplyText.whole("m", EntryClient.PROMPT, TOKENS));
		List<EventId> positions = new ArrayList<>(cut.positions());
		positions.addAll(rest.positions());
		assertThat(positions).extracting(EventId::request).containsOnly(last(cut).request());
		LayerExecutions executions = new LayerExecutions(federation);
		executions.readOthers(last(cut));
		executions.assertOnce(positions);
		federation.processes().awaitExit("entry-" + lost);
		federation.startEntry(lost);
		federation.awaitEntry(lost, 1);
	}

	// Repeated, since a reply meets the threads of the stand-in in another order each
	// time.
	@Example
	void silentConnectionsCostTheirTimeLimitOnce() throws Exception {
		for (int i = 0; i < SILENCES; i++) {
			silenceConnectionsOnce();
		}
	}

	private void silenceConnectionsOnce() throws Exception {
		openIdleConnections();
		List<String> silenced = new ArrayList<>();
		ClientReply reply = complete(0, TOKENS, (partial) -> {
			if (partial.size() == FAULT_INDEX) {
				silenced.add(partial.runner());
				attempt(() -> faults(partial.runner(), "{\"silenceExisting\": true}"));
			}
		});
		assertWhole(reply, TOKENS);
		ClientReply next;
		int replies = 0;
		do {
			next = complete(0, SHORT_REPLY, (partial) -> {
			});
			assertWhole(next, SHORT_REPLY);
			assertThat(next.totalSeconds()).as("time of reply %s after the fault", replies)
				.isLessThan(DETECTION_SECONDS);
			replies++;
		}
		while (!next.runner().equals(silenced.get(0)) && replies < MAX_SHORT_REPLIES);
		faults(silenced.get(0), "{}");
		assertThat(next.runner()).as("runner that is used again").isEqualTo(silenced.get(0));
	}

	// A pool of idle connections: each of them costs its time limit if it stays in use.
	private static void openIdleConnections() throws Exception {
		ExecutorService threads = Executors.newFixedThreadPool(IDLE_CONNECTIONS);
		try {
			List<Callable<ClientReply>> calls = Collections.nCopies(IDLE_CONNECTIONS,
					() -> complete(0, TOKENS, (partial) -> {
					}));
			for (Future<ClientReply> reply : threads.invokeAll(calls)) {
				assertWhole(reply.get(), TOKENS);
			}
		}
		finally {
			threads.shutdownNow();
		}
	}

	private void replyIsWholeAfterTheDeathOfStage(boolean first) throws Exception {
		LayerExecutions executions = new LayerExecutions(federation);
		List<String> killed = new ArrayList<>();
		ClientReply reply = complete(1, TOKENS, (partial) -> {
			if (partial.size() == FAULT_INDEX) {
				attempt(() -> killed.add(kill(partial, first, executions)));
			}
		});
		assertWhole(reply, TOKENS);
		assertThat(last(reply).epoch()).as("epoch of the last token").isGreaterThan(1);
		executions.readOthers(last(reply));
		executions.assertOnce(reply.positions());
		federation.restartEngine(number(killed.get(0)));
	}

	/**
	 * Kills a stage while the other one is frozen, so that its counts are complete.
	 */
	private static String kill(ClientReply reply, boolean first, LayerExecutions executions) throws Exception {
		LayerExecutions chain = new LayerExecutions(federation);
		chain.readOthers(last(reply));
		String other = chain.used().stream().filter((name) -> !name.equals(reply.runner())).findFirst().orElseThrow();
		String victim = first ? reply.runner() : other;
		String survivor = first ? other : reply.runner();
		freeze(survivor);
		List<Object> before = new ArrayList<>();
		federation.await(victim, () -> {
			String now = federation.read(victim, "/admin/executions");
			boolean same = before.contains(now);
			before.add(now);
			return same;
		});
		executions.read(victim, last(reply));
		federation.processes().kill(victim);
		thaw(survivor);
		return victim;
	}

	private static ClientReply complete(int entry, int tokens, Consumer<ClientReply> onToken) {
		return federation.client(entry).complete("pavio", tokens, onToken);
	}

	private static void assertWhole(ClientReply reply, int tokens) {
		assertThat(reply.whole(0, tokens))
			.as("reply of %s tokens, status %s, %s", reply.size(), reply.status(), reply.fault())
			.isTrue();
		assertThat(reply.text()).isEqualTo(ReplyText.whole("m", EntryClient.PROMPT, tokens));
	}

	private static EventId last(ClientReply reply) {
		return EventId.parse(String.valueOf(reply.lastEvent()));
	}

	private static int number(String engine) {
		return Integer.parseInt(engine.substring("engine-".length()));
	}

	private static String freeze(String name) throws Exception {
		federation.processes().freeze(name);
		return name;
	}

	private static String thaw(String name) throws Exception {
		federation.processes().thaw(name);
		return name;
	}

	private static String faults(String name, String document) throws Exception {
		federation.faults(name, document);
		return name;
	}

	private static void attempt(Callable<?> action) {
		try {
			action.call();
		}
		catch (Exception ex) {
			throw new IllegalStateException("the fault could not be caused", ex);
		}
	}

}
