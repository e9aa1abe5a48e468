package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** An application runner. It lists itself in the store, and keeps to its slots. */
class Runner extends Listener {

	private static final int WORK_MS = 20;

	private final Rig rig;

	final String id;

	private final String service;

	private final int slots;

	private final String zone;

	private final Store store;

	private final long born = System.currentTimeMillis();

	private final Semaphore free;

	private final AtomicInteger beats = new AtomicInteger();

	private volatile boolean listed;

	/** Receives the time at which the next heartbeat is lost, or null to lose none. */
	private CompletableFuture<Long> losing;

	private int performedAfterMillis;

	private volatile boolean leaving;

	Runner(Rig rig, Store store, String id, String service, String zone, int slots) throws IOException {
		super(rig.ip());
		this.rig = rig;
		this.store = store;
		this.id = id;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.free = new Semaphore(slots);
	}

	/** Enters the list, and renews the entry from now on. */
	Runner list() {
		this.listed = true;
		Thread thread = new Thread(() -> {
			while (this.listed) {
				beat();
				Rig.sleepUntil(Rig.now() + Rig.HEARTBEAT_MS);
			}
		});
		thread.setDaemon(true);
		thread.start();
		return this;
	}

	private synchronized void beat() {
		CompletableFuture<Long> lost = this.losing;
		this.losing = null;
		if (!this.listed) {
			return;
		}
		if (lost == null) {
			this.store.put("servers", this.id, entry());
		}
		else {
			lost.complete(loseBeat());
		}
	}

	private String entry() {
		return "{\"Service\":\"" + this.service + "\",\"Address\":\"" + address()
				+ "\",\"Zone\":\"" + this.zone + "\",\"Version\":\"v1\",\"Slots\":" + this.slots
				+ ",\"State\":\"ready\",\"ColdRemainingMs\":0,\"born\":" + this.born + ",\"Seq\":"
				+ this.beats.incrementAndGet() + "}";
	}

	/**
	 * Makes the store lose the next heartbeat. It gets no answer, and the store performs
	 * it later. The entry is then removed again after three heartbeats of silence.
	 * @return the time of the heartbeat
	 */
	long loseNextBeat(int performedAfterMillis) {
		CompletableFuture<Long> lost = new CompletableFuture<>();
		synchronized (this) {
			this.performedAfterMillis = performedAfterMillis;
			this.losing = lost;
		}
		return lost.join();
	}

	private long loseBeat() {
		long at = Rig.now();
		long performedAt = at + this.performedAfterMillis;
		String written = entry();
		this.rig.note("the store loses a heartbeat of " + this.id + ": " + written);
		Thread thread = new Thread(() -> {
			Rig.sleepUntil(performedAt);
			this.store.put("servers", this.id, written);
			this.rig.note("the store performs the lost heartbeat of " + this.id);
			Rig.sleepUntil(performedAt + 3 * Rig.HEARTBEAT_MS);
			this.store.remove("servers", this.id);
			this.rig.note("the store removes the entry of " + this.id + " again");
		});
		thread.setDaemon(true);
		thread.start();
		return at;
	}

	/** Leaves without a report: its entry is removed, and it goes on serving. */
	synchronized void removeEntry() {
		this.leaving = true;
		this.listed = false;
		this.store.remove("servers", this.id);
	}

	@Override
	void handle(Socket socket) throws IOException {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
			answer(socket, request);
		}
	}

	private void answer(Socket socket, Http.Message request) throws IOException {
		String attempt = request.header("X-Bilberryvalve-Attempt-Id");
		String expected = request.header("X-Bilberryvalve-Expect-Instance");
		String head = "X-Bilberryvalve-Served-By: " + this.id + "\r\nKeep-Alive: timeout=5\r\n"
				+ (this.leaving ? "Server-Leaving: 1\r\n" : "");
		if (attempt == null) {
			Http.write(socket.getOutputStream(),
					"HTTP/1.1 400 Bad Request\r\nX-Bilberryvalve-Not-Executed: 1\r\n" + head, new byte[0]);
			return;
		}
		head += "X-Bilberryvalve-Attempt-Id: " + attempt + "\r\n";
		if (expected != null && !expected.equals(this.id)) {
			Http.write(socket.getOutputStream(), "HTTP/1.1 421 Misdirected Request\r\n" + head, new byte[0]);
			return;
		}
		if (!this.free.tryAcquire()) {
			Http.write(socket.getOutputStream(),
					"HTTP/1.1 503 Service Unavailable\r\nX-Bilberryvalve-Not-Executed: 1\r\n" + head, new byte[0]);
			return;
		}
		try {
			this.rig.note("runner " + this.id + " runs " + attempt);
			ran(attempt);
			Rig.sleepUntil(Rig.now() + WORK_MS);
		}
		finally {
			this.free.release();
		}
		Http.write(socket.getOutputStream(),
				"HTTP/1.1 200 OK\r\nX-Bilberryvalve-Response-Seal: seal." + attempt + "\r\n" + head,
				("answer to " + attempt).getBytes(StandardCharsets.UTF_8));
	}

	/** Called when a request begins to run. */
	void ran(String attempt) {
	}

}
