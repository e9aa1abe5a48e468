package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store loses a heartbeat of a runner and performs it 5.8 s later. In between, the
 * runner leaves without a report, and a machine is added. Counted are the requests that
 * clients send to the new machine when it is in touch, later than DrainMs after the
 * removal of the entry, and that reach the runner all the same.
 */
final class AddedMachine {

	private static final int RUNNERS = 8;

	private static final int CALLERS = 16;

	/** A lost write is performed 1 to 6 s later. */
	private static final int PERFORMED_AFTER_MS = 5800;

	/** The store counts as stable 3 s after the lost write. */
	private static final int REMOVAL_AFTER_MS = 3400;

	private AddedMachine() {
	}

	public static void main(String[] arguments) {
		Rig.run(AddedMachine::run);
	}

	private static int run(Rig rig) throws Exception {
		Store store = rig.add(new Store(rig.ip()));
		store.put("op", "config", Site.config(7, Site.appRoutes(), Site.app()));
		Set<String> atLeaver = ConcurrentHashMap.newKeySet();
		List<Runner> runners = new ArrayList<>();
		for (int i = 0; i < RUNNERS; i++) {
			boolean leaver = i == RUNNERS - 1;
			runners.add(rig.add(new Runner(rig, store, "i-" + i, Site.APP, "sul-" + "abc".charAt(i % 3), 6) {

				@Override
				void ran(String attempt) {
					if (leaver) {
						atLeaver.add(attempt);
					}
				}

			}).list());
			Rig.sleepUntil(Rig.now() + Rig.HEARTBEAT_MS / RUNNERS);
		}
		Runner leaver = runners.get(RUNNERS - 1);
		Daemon old = rig.add(new Daemon(rig, "front-sul-a-1", "sul-a", store.address(), 2000)).start().awaitReady();
		Daemon added = rig.add(new Daemon(rig, "front-sul-b-1", "sul-b", store.address(), 2000));
		Rig.sleepUntil(Rig.now() + 5000);
		Set<String> early = ConcurrentHashMap.newKeySet();
		if (group(rig, old, early) < CALLERS || early.stream().noneMatch(atLeaver::contains)) {
			throw new IllegalStateException("before the disruption, not all requests and not all runners were used");
		}
		long lost = rig.trouble ? leaver.loseNextBeat(PERFORMED_AFTER_MS) : Rig.now();
		Rig.sleepUntil(lost + REMOVAL_AFTER_MS);
		leaver.removeEntry();
		long removed = Rig.now();
		rig.note("the store has removed the entry of " + leaver.id);
		rig.note("a machine is added");
		added.start().awaitReady();
		long ready = Rig.now();
		long bound = Math.max(ready + Rig.STABLE_WINDOW_MS, removed + Rig.DRAIN_MS);
		rig.note("from " + bound + " on, " + leaver.id + " must get no request");
		Set<String> lateAtOld = ConcurrentHashMap.newKeySet();
		Set<String> lateAtAdded = ConcurrentHashMap.newKeySet();
		for (long at = bound + 50; at < bound + 4000; at += 250) {
			Rig.sleepUntil(at);
			group(rig, old, lateAtOld);
			group(rig, added, lateAtAdded);
		}
		lateAtOld.retainAll(atLeaver);
		lateAtAdded.retainAll(atLeaver);
		lateAtAdded.forEach((id) -> rig.note("sent too late to " + leaver.id + ": " + id));
		rig.note("too late through the added machine " + lateAtAdded.size() + ", through the other one "
				+ lateAtOld.size());
		return lateAtOld.size() + lateAtAdded.size();
	}

	// Sends requests at the same time, each on a connection of its own, and returns how
	// many are served.
	private static int group(Rig rig, Daemon daemon, Set<String> sent) throws InterruptedException {
		List<Thread> threads = new ArrayList<>();
		AtomicInteger served = new AtomicInteger();
		for (int i = 0; i < CALLERS; i++) {
			Thread thread = new Thread(() -> {
				String id = Caller.newId();
				sent.add(id);
				try (Caller caller = new Caller(rig, daemon.front)) {
					caller.send("POST", "/puxa403/2f", id, 600, "", new byte[600]);
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
