package rig;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests with bodies of half of BodyBytes, at a rate that the runners can
 * serve. For 3 s, many users come at once (1.7 times the traffic); then the traffic is as
 * before. Later than 8 s after the burst, other clients send requests with small bodies.
 * Counted are those of them that have no final answer 0.5 s after their route's TimeoutMs.
 */
final class HeldBodies {

	private static final int TIMEOUT_MS = 4000;

	private static final int LATE_MS = 500;

	/** Dose of the site file: x = 1.7 for 3 s. */
	private static final double BURST = 1.7;

	private static final int BURST_MS = 3000;

	/** While clients press beyond the usual, and 5 s after, a machine may count as slowed. */
	private static final int PRESSED_MS = 5000;

	private static final double USUAL_PER_S = 45;

	/** The three runners with 6 slots each serve 60 requests a second. */
	private static final int WORK_MS = 300;

	private static final int LARGE_BYTES = 2 << 20;

	private static final int SMALL_BYTES = 600;

	private static final byte[] LARGE = new byte[LARGE_BYTES];

	private static final byte[] SMALL = new byte[SMALL_BYTES];

	private static final int CHECKED = 50;

	private final Rig rig;

	private final Daemon daemon;

	private final Map<String, AtomicInteger> ends = new TreeMap<>();

	private final List<Thread> threads = new ArrayList<>();

	private HeldBodies(Rig rig, Daemon daemon) {
		this.rig = rig;
		this.daemon = daemon;
	}

	public static void main(String[] arguments) {
		Rig.run(HeldBodies::run);
	}

	private static int run(Rig rig) throws Exception {
		Store store = rig.add(new Store(rig.ip()));
		store.put("op", "config", Site.config(7,
				Site.route("r-order", "/puxa403/", "non_idempotent", TIMEOUT_MS, 386, 1, Site.APP), Site.app()));
		for (int i = 0; i < 3; i++) {
			Runner runner = rig.add(new Runner(rig, store, "i-" + i, Site.APP, "sul-" + "abc".charAt(i), 6));
			runner.workMillis = WORK_MS;
			runner.list();
		}
		Daemon daemon = rig.add(new Daemon(rig, "front-sul-a-1", "sul-a", store.address(), 2000)).start().awaitReady();
		Rig.sleepUntil(Rig.now() + 2000);
		HeldBodies load = new HeldBodies(rig, daemon);
		long start = Rig.now();
		long burst = start + 5000;
		long checks = burst + BURST_MS + PRESSED_MS + Rig.STABLE_WINDOW_MS;
		long end = checks + 5000;
		load.send("before the burst", burst, USUAL_PER_S, LARGE);
		load.send("in the burst", burst + BURST_MS, rig.trouble ? USUAL_PER_S * BURST : USUAL_PER_S, LARGE);
		rig.note("the burst has ended");
		Thread usual = new Thread(() -> load.send("after the burst", end, USUAL_PER_S, LARGE));
		usual.start();
		Rig.sleepUntil(checks);
		load.send("small and checked", end, CHECKED * 1000.0 / (end - checks), SMALL);
		usual.join();
		load.join();
		load.ends.forEach((what, count) -> rig.note("ended: " + what + ": " + count));
		rig.note("the process of the daemon " + (daemon.isAlive() ? "runs" : "has ended") + ", ready: "
				+ daemon.isReady());
		String log = daemon.log();
		rig.note("log lines with OutOfMemoryError: " + log.lines().filter((line) -> line.contains("OutOfMemory")).count());
		log.lines().filter((line) -> line.contains("OutOfMemory")).limit(2).forEach((line) -> rig.note("log: " + line));
		if (load.count("before the burst: 200") < 200) {
			throw new IllegalStateException("the usual traffic was not served before the burst");
		}
		int unanswered = load.count("small and checked: no answer");
		return (unanswered >= 8 && unanswered * 4 > CHECKED) ? unanswered : 0;
	}

	private int count(String end) {
		synchronized (this.ends) {
			return this.ends.getOrDefault(end, new AtomicInteger()).get();
		}
	}

	private void send(String phase, long end, double perSecond, byte[] body) {
		this.rig.note("phase " + phase + ": " + perSecond + " requests a second of " + body.length + " bytes");
		long start = Rig.now();
		for (int i = 0; start + Math.round(i * 1000 / perSecond) < end; i++) {
			Rig.sleepUntil(start + Math.round(i * 1000 / perSecond));
			Thread thread = new Thread(() -> request(phase, body));
			synchronized (this.threads) {
				this.threads.add(thread);
			}
			thread.start();
		}
	}

	// The client waits for its whole deadline, as for a request that is not idempotent.
	private void request(String phase, byte[] body) {
		String id = Caller.newId();
		String end = "the connection ended before the request was sent";
		try (Caller caller = new Caller(this.rig, this.daemon.front)) {
			Thread watch = new Thread(() -> closeLate(caller));
			watch.setDaemon(true);
			watch.start();
			caller.send("POST", "/puxa403/2f", id, TIMEOUT_MS, "", body);
			end = "closed without an answer";
			Http.Message answer = caller.receive(id, TIMEOUT_MS + LATE_MS);
			end = (answer != null) ? Integer.toString(answer.status()) : end;
		}
		catch (SocketTimeoutException ex) {
			end = "no answer";
		}
		catch (IOException | RuntimeException ex) {
			this.rig.note("failed " + id + ": " + ex.getMessage());
		}
		synchronized (this.ends) {
			this.ends.computeIfAbsent(phase + ": " + end, (key) -> new AtomicInteger()).incrementAndGet();
		}
	}

	// Ends a request whose body the daemon does not read.
	private static void closeLate(Caller caller) {
		Rig.sleepUntil(Rig.now() + TIMEOUT_MS + 2L * LATE_MS);
		try {
			caller.close();
		}
		catch (IOException ex) {
			// It was closed already.
		}
	}

	private void join() throws InterruptedException {
		List<Thread> all;
		synchronized (this.threads) {
			all = List.copyOf(this.threads);
		}
		for (Thread thread : all) {
			thread.join();
		}
	}

}
