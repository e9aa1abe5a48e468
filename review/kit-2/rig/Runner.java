package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** An application runner. It lists itself in the store, and keeps to its slots. */
class Runner extends Listener {

	final Rig rig;

	final String id;

	final String service;

	final int slots;

	private final String zone;

	private final Store store;

	private final long born = System.currentTimeMillis();

	private final Semaphore free;

	private final AtomicInteger beats = new AtomicInteger();

	volatile int workMillis = 20;

	private volatile boolean listed;

	private long lastBeat;

	volatile boolean leaving;

	Runner(Rig rig, Store store, String id, String service, String zone, int slots) throws IOException {
		this(rig, store, id, service, zone, slots, rig.ip());
	}

	Runner(Rig rig, Store store, String id, String service, String zone, int slots, String address)
			throws IOException {
		super(address);
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

	synchronized void beat() {
		if (this.listed) {
			this.lastBeat = Rig.now();
			this.store.put("servers", this.id, "{\"Service\":\"" + this.service + "\",\"Address\":\"" + address()
					+ "\",\"Zone\":\"" + this.zone + "\",\"Version\":\"v1\",\"Slots\":" + this.slots
					+ ",\"State\":\"ready\",\"ColdRemainingMs\":0" + more() + ",\"born\":" + this.born + ",\"Seq\":"
					+ this.beats.incrementAndGet() + "}");
		}
	}

	String more() {
		return "";
	}

	/**
	 * Crashes for good. The store removes the entry after three heartbeats of silence.
	 */
	void crash() throws IOException {
		long end;
		synchronized (this) {
			this.listed = false;
			end = this.lastBeat + 3 * Rig.HEARTBEAT_MS;
		}
		close();
		Thread thread = new Thread(() -> {
			Rig.sleepUntil(end);
			this.store.remove("servers", this.id);
			this.rig.note("the store has removed the entry of " + this.id);
		});
		thread.setDaemon(true);
		thread.start();
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

	void answer(Socket socket, Http.Message request) throws IOException {
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
			ran(attempt, request);
			Rig.sleepUntil(Rig.now() + this.workMillis);
		}
		finally {
			this.free.release();
		}
		Http.write(socket.getOutputStream(),
				"HTTP/1.1 200 OK\r\nX-Bilberryvalve-Response-Seal: seal." + attempt + "\r\n" + head,
				("answer to " + attempt).getBytes(StandardCharsets.UTF_8));
	}

	void ran(String attempt, Http.Message request) {
	}

}
