package rig;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A model runner that takes orders to hold layers. It serves no requests. */
final class EngineRunner extends Runner {

	static final int LAYERS = 80;

	static final int LAYER_MB = 1750;

	private final String kind;

	private final int megabytes;

	/** Loads before the first request take a tenth of the declared time. */
	private final long wholeLoadMillis;

	private long accepted;

	private long fence;

	private int from;

	private int to;

	private boolean busy;

	/** Set if an order exceeded the memory. */
	volatile String tooLarge;

	EngineRunner(Rig rig, Store store, String id, String service, String zone, String kind, int megabytes,
			long wholeLoadMillis, String address) throws IOException {
		super(rig, store, id, service, zone, 134, address);
		this.kind = kind;
		this.megabytes = megabytes;
		this.wholeLoadMillis = wholeLoadMillis;
	}

	/** First of the layers that it holds. */
	synchronized int from() {
		return this.from;
	}

	/** End of the layers that it holds, 0 while it loads or holds none. */
	synchronized int to() {
		return this.busy ? 0 : this.to;
	}

	private synchronized String layers() {
		return (this.to > this.from && !this.busy)
				? ",\"Layers\":{\"From\":" + this.from + ",\"To\":" + this.to + ",\"Version\":1}" : "";
	}

	@Override
	String more() {
		return ",\"Stage\":\"both\",\"Models\":[{\"Name\":\"m-" + this.service
				+ "\",\"Version\":1,\"Adapters\":[]}],\"Kind\":\"" + this.kind + "\"" + layers();
	}

	@Override
	void answer(Socket socket, Http.Message request) throws IOException {
		if (request.target().equals("/api/report")) {
			write(socket, "200 OK", report());
		}
		else if (request.target().equals("/api/order")) {
			String expected = request.header("X-Bilberryvalve-Expect-Instance");
			boolean other = expected != null && !expected.equals(this.id);
			write(socket, other ? "421 Misdirected Request"
					: order(Json.parse(new String(request.body(), StandardCharsets.UTF_8))), "{}");
		}
		else {
			super.answer(socket, request);
		}
	}

	private synchronized String report() {
		return "{\"Stage\":\"both\",\"Models\":[{\"Name\":\"m-" + this.service
				+ "\",\"Version\":1,\"Adapters\":[]}],\"Kind\":\"" + this.kind + "\",\"Busy\":" + this.busy
				+ ",\"Seq\":" + this.accepted + layers()
				+ ",\"NumWaiting\":0,\"NumRunning\":0,\"KvUsed\":0,\"KvTotal\":90000,\"Handles\":0}";
	}

	private synchronized String order(Map<String, Object> body) {
		int first = ((Number) body.get("From")).intValue();
		int end = ((Number) body.get("To")).intValue();
		long token = ((Number) body.getOrDefault("FenceToken", 0L)).longValue();
		String answer;
		if (token < this.fence) {
			answer = "412 Precondition Failed";
		}
		else if (!this.busy && first == this.from && end == this.to) {
			answer = "200 OK";
		}
		else if (this.busy || ((Number) body.getOrDefault("ExpectedRev", this.accepted)).longValue() != this.accepted) {
			answer = "409 Conflict";
		}
		else {
			answer = "202 Accepted";
		}
		this.fence = Math.max(this.fence, token);
		this.rig.note("runner " + this.id + " of " + this.service + " (" + this.kind + ", " + this.megabytes
				+ " MB) is ordered to hold layers " + first + " to " + end + ": " + answer);
		if (answer.startsWith("202")) {
			if ((end - first) * LAYER_MB > this.megabytes) {
				this.tooLarge = "layers " + first + " to " + end + ", " + (end - first) * LAYER_MB + " MB";
			}
			load(first, end);
		}
		return answer;
	}

	private void load(int first, int end) {
		this.accepted++;
		this.busy = true;
		this.from = first;
		this.to = end;
		Thread thread = new Thread(() -> {
			Rig.sleepUntil(Rig.now() + this.wholeLoadMillis / 10 * (end - first) / LAYERS);
			synchronized (this) {
				this.busy = false;
			}
			beat();
		});
		thread.setDaemon(true);
		thread.start();
	}

	private static void write(Socket socket, String status, String body) throws IOException {
		Http.write(socket.getOutputStream(), "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n",
				body.getBytes(StandardCharsets.UTF_8));
	}

}
