package io.bilberryvalve.verification.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;

import io.bilberryvalve.bench.process.ClientReply;
import io.bilberryvalve.bench.process.EntryList;
import io.bilberryvalve.bench.process.LocalFederation;
import io.bilberryvalve.bench.process.LocalFederation.Plan;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replacement of all entries. Guards against replies that a graceful shutdown cuts, and
 * against requests that reach an entry after it has ended.
 */
class ReplacementTests {

	private static final int TOKENS = 100;

	@Example
	void interruptsNothingWhileEachEntryIsReplaced() throws Exception {
		ExecutorService threads = Executors.newFixedThreadPool(2);
		try (LocalFederation federation = LocalFederation.start(new Plan(2, 1, 512, 4000))) {
			AtomicBoolean stopped = new AtomicBoolean();
			List<Future<List<ClientReply>>> callers = new ArrayList<>();
			for (String club : List.of("pavio", "klokhuis")) {
				callers.add(threads.submit(() -> call(federation, club, stopped)));
			}
			for (int entry = 0; entry < federation.entries(); entry++) {
				federation.processes().terminate("entry-" + entry);
				assertThat(federation.processes().awaitExit("entry-" + entry)).as("exit code").isIn(0, 143);
				federation.startEntry(entry);
				federation.awaitEntry(entry, 1);
			}
			stopped.set(true);
			for (Future<List<ClientReply>> caller : callers) {
				assertThat(caller.get()).isNotEmpty()
					.allSatisfy((reply) -> assertThat(reply.whole(0, TOKENS))
						.as("%s tokens, status %s, %s", reply.size(), reply.status(), reply.fault())
						.isTrue());
			}
		}
		finally {
			threads.shutdownNow();
		}
	}

	private static List<ClientReply> call(LocalFederation federation, String club, AtomicBoolean stopped) {
		EntryList entries = new EntryList(federation);
		List<ClientReply> replies = new ArrayList<>();
		while (!stopped.get()) {
			replies.add(federation.client(entries.next()).complete(club, TOKENS, (partial) -> {
			}));
		}
		return replies;
	}

}
