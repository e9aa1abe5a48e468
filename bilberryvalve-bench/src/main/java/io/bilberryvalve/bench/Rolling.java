package io.bilberryvalve.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.bench.process.ClientReply;
import io.bilberryvalve.bench.process.EntryList;
import io.bilberryvalve.bench.process.LocalFederation;
import io.bilberryvalve.bench.process.LocalFederation.Plan;

/**
 * Requests interrupted while all entries are replaced one after the other under load, and
 * the time until an accepted configuration is in force at each entry.
 */
final class Rolling implements Experiment {

	private static final int TOKENS = 40;

	private static final int CALLERS = 8;

	private static final long CALLER_SECONDS = 120;

	@Override
	public String name() {
		return "rolling";
	}

	@Override
	public List<Figure> run(List<Long> seeds) throws Exception {
		try (LocalFederation federation = LocalFederation.start(new Plan(4, 3, 512, 8000))) {
			List<Figure> figures = new ArrayList<>();
			figures.add(Figure.of("config_in_force_entries_4", inForce(seeds, federation), "s",
					"submission until the last of 4 entries has the version in force, polled every 5 ms"));
			Load load = new Load(federation);
			load.start();
			for (int i = 0; i < federation.entries(); i++) {
				federation.processes().terminate("entry-" + i);
				federation.processes().awaitExit("entry-" + i);
				federation.startEntry(i);
				federation.awaitEntry(i, 1);
			}
			load.stop();
			figures.add(Figure.of("drain_cut", load.faults.size(), "requests",
					"replies not whole while 4 entries were replaced, of " + load.replies.get() + " replies"
							+ (load.faults.isEmpty() ? "" : "; first: " + load.faults.peek())));
			return figures;
		}
	}

	private static double inForce(List<Long> seeds, LocalFederation federation) throws Exception {
		double[] times = new double[seeds.size()];
		for (int i = 0; i < times.length; i++) {
			long start = System.nanoTime();
			long version = federation.submit(i % federation.entries(), "klokhuis",
					federation.clubDocument("klokhuis", 100 + i), "rolling-" + i);
			for (int entry = 0; entry < federation.entries(); entry++) {
				federation.awaitEntry(entry, version);
			}
			times[i] = (System.nanoTime() - start) / 1e9;
		}
		return Median.of(times);
	}

	/**
	 * Callers that ask for replies one after the other, at the entries that the system
	 * names.
	 */
	private static final class Load {

		private final ExecutorService threads = Executors.newFixedThreadPool(CALLERS);

		private final AtomicBoolean stopped = new AtomicBoolean();

		private final AtomicInteger replies = new AtomicInteger();

		private final Queue<String> faults = new ConcurrentLinkedQueue<>();

		private final LocalFederation federation;

		Load(LocalFederation federation) {
			this.federation = federation;
		}

		void start() {
			for (int i = 0; i < CALLERS; i++) {
				int caller = i;
				this.threads.execute(() -> call((caller % 2 == 0) ? "pavio" : "klokhuis"));
			}
		}

		void stop() throws InterruptedException {
			this.stopped.set(true);
			this.threads.shutdown();
			this.threads.awaitTermination(CALLER_SECONDS, TimeUnit.SECONDS);
		}

		private void call(String club) {
			EntryList entries = new EntryList(this.federation);
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(CALLER_SECONDS);
			while (!this.stopped.get() && System.nanoTime() < end) {
				ClientReply reply = this.federation.client(entries.next()).complete(club, TOKENS, (token) -> {
				});
				if (reply.whole(0, TOKENS)) {
					this.replies.incrementAndGet();
				}
				else {
					this.faults.add(reply.size() + " tokens, status " + reply.status() + ", " + reply.fault());
				}
			}
		}

	}

}
