package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections of a daemon to the store go silent for good; new ones work. 0.5 s
 * later the entry of a runner is removed, as by runners that never report that they
 * leave. Counted are the requests that clients send later than StableWindowMs after the
 * silence and DrainMs after the removal, and that reach this runner all the same.
 */
final class SilentStore {

	private static final int RUNNERS = 8;

	private static final int CALLERS = 16;

	private static final int REMOVAL_MS = 500;

	private SilentStore() {
	}

	public static void main(String[] arguments) {
		Rig.run(SilentStore::run);
	}

	private static int run(Rig rig) throws Exception {
		Store store = rig.add(new Store(rig.ip()));
		Proxy proxy = rig.add(new Proxy(rig.ip(), store.address()));
		store.put("op", "config", Site.config(7, Site.appRoutes(), Site.app()));
		Set<String> atLeaver = ConcurrentHashMap.newKeySet();
		List<Runner> runners = new ArrayList<>();
		for (int i = 0; i < RUNNERS; i++) {
			boolean leaver = i == RUNNERS - 1;
			runners.add(rig.add(new Runner(rig, store, "i-" + i, Site.APP, "sul-" + "abc".charAt(i % 3), 6) {

				@Override
				void ran(String attempt, Http.Message request) {
					if (leaver) {
						atLeaver.add(attempt);
					}
				}

			}).list());
			Rig.sleepUntil(Rig.now() + Rig.HEARTBEAT_MS / RUNNERS);
		}
		Runner leaver = runners.get(RUNNERS - 1);
		Daemon daemon = rig.add(new Daemon(rig, "front-sul-a-1", "sul-a", proxy.address(), 2000)).start().awaitReady();
		List<Caller> callers = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			callers.add(rig.add(new Caller(rig, daemon.front)));
		}
		calm(rig, callers, Rig.now() + 4000);
		Set<String> early = ConcurrentHashMap.newKeySet();
		if (group(rig, callers, early) < CALLERS || early.stream().noneMatch(atLeaver::contains)) {
			throw new IllegalStateException("before the disruption, not all requests and not all runners were used");
		}
		long silent = Rig.now();
		rig.note("silent: " + (rig.trouble ? proxy.silenceOpen() : 0) + " open connections to the store");
		calm(rig, callers, silent + REMOVAL_MS);
		leaver.removeEntry();
		long removed = Rig.now();
		rig.note("the store has removed the entry of " + leaver.id);
		long bound = Math.max(silent + Rig.STABLE_WINDOW_MS, removed + Rig.DRAIN_MS);
		calm(rig, callers, bound - 700);
		rig.note("from " + bound + " on, " + leaver.id + " must get no request");
		Set<String> late = ConcurrentHashMap.newKeySet();
		for (long at = bound + 50; at < bound + 2500; at += 250) {
			Rig.sleepUntil(at);
			group(rig, callers, late);
		}
		late.retainAll(atLeaver);
		late.forEach((id) -> rig.note("sent too late to " + leaver.id + ": " + id));
		return late.size();
	}

	// Sends one request at a time until the given time.
	private static void calm(Rig rig, List<Caller> callers, long end) throws InterruptedException {
		while (Rig.now() < end) {
			group(rig, callers.subList(0, 1), ConcurrentHashMap.newKeySet());
			Rig.sleepUntil(Math.min(end, Rig.now() + 250));
		}
	}

	// Sends one request on each connection at the same time, and returns how many are
	// served.
	private static int group(Rig rig, List<Caller> callers, Set<String> sent) throws InterruptedException {
		List<Thread> threads = new ArrayList<>();
		AtomicInteger served = new AtomicInteger();
		for (Caller caller : callers) {
			Thread thread = new Thread(() -> {
				String id = Caller.newId();
				sent.add(id);
				try {
					caller.send("GET", "/cufi504/fi50/2f", id, 600, "", null);
					served.addAndGet((caller.receive(id, 2000).status() == 200) ? 1 : 0);
				}
				catch (IOException | RuntimeException ex) {
					rig.note("no answer to " + id + ": " + ex);
				}
			});
			thread.start();
			threads.add(thread);
		}
		for (Thread thread : threads) {
			thread.join();
		}
		return served.get();
	}

}
