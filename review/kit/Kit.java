import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for clients, runners and the platform's store, a proxy, and a launcher for the
 * entry daemon. Every address is a loopback address.
 */
final class Kit {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	private static final long START = System.nanoTime();

	private static final AtomicLong NAMES = new AtomicLong();

	private static Path recordFile;

	private static final StringBuilder RECORD = new StringBuilder();

	private Kit() {
	}

	/** Runs a case and exits with its verdict. */
	static void run(String folder, Case body) {
		recordFile = Path.of(folder, "record.txt");
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int verdict = NOT_RUN;
		Thread limit = new Thread(() -> {
			sleep(112_000);
			record("the case takes too long");
			Daemon.killAll();
			writeRecord();
			Runtime.getRuntime().halt(NOT_RUN);
		});
		limit.setDaemon(true);
		limit.start();
		Runtime.getRuntime().addShutdownHook(new Thread(Daemon::killAll));
		try {
			record("disruption: %s", trouble ? "yes" : "no");
			verdict = body.play(trouble);
		}
		catch (Throwable ex) {
			record("the case could not run: %s", ex);
			ex.printStackTrace();
		}
		Daemon.killAll();
		Daemon.deleteFolders();
		record("exit code %d", verdict);
		writeRecord();
		Runtime.getRuntime().halt(verdict);
	}

	interface Case {

		int play(boolean trouble) throws Exception;

	}

	static long now() {
		return (System.nanoTime() - START) / 1_000_000;
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static void sleepUntil(long at) {
		sleep(at - now());
	}

	static void record(String text, Object... values) {
		String line = String.format(Locale.ROOT, "%7d ms  %s%n", now(),
				(values.length > 0) ? String.format(Locale.ROOT, text, values) : text);
		synchronized (RECORD) {
			RECORD.append(line);
		}
	}

	static void say(String text, Object... values) {
		record(text, values);
		System.out.printf(Locale.ROOT, "%7d ms  %s%n", now(), String.format(Locale.ROOT, text, values));
	}

	private static void writeRecord() {
		try {
			synchronized (RECORD) {
				Files.writeString(recordFile, RECORD.toString());
			}
		}
		catch (IOException ex) {
			ex.printStackTrace();
		}
	}

	static Thread start(String name, Step step) {
		Thread thread = new Thread(null, () -> {
			try {
				step.run();
			}
			catch (IOException | UncheckedIOException ex) {
				// A connection ended, which its other end has seen.
			}
			catch (Exception ex) {
				record("thread %s failed: %s", name, ex);
			}
		}, name, 256 << 10);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	interface Step {

		void run() throws Exception;

	}

	static String nextId() {
		return String.format(Locale.ROOT, "%08x%08x", System.nanoTime() & 0xffffffffL, NAMES.incrementAndGet());
	}

	/** Ports that were given to daemons, none of which is given twice. */
	private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

	static int freePort(String host) {
		while (true) {
			try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
				if (GIVEN.add(socket.getLocalPort())) {
					return socket.getLocalPort();
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
	}

	static int freeDatagramPort(String host) {
		try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName(host))) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** An HTTP message without its first line's meaning. */
	static final class Message {

		String first = "";

		final List<String[]> headers = new ArrayList<>();

		byte[] body = new byte[0];

		/** Whether the message ended as its framing says. */
		boolean complete;

		String header(String name) {
			for (String[] header : this.headers) {
				if (header[0].equalsIgnoreCase(name)) {
					return header[1];
				}
			}
			return null;
		}

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

		int status() {
			String[] words = this.first.split(" ");
			return (words.length > 1) ? Integer.parseInt(words[1]) : 0;
		}

	}

	/** Reads messages from one connection. */
	static final class Reader {

		private final InputStream in;

		private final byte[] buffer = new byte[65536];

		private int at;

		private int end;

		Reader(InputStream in) {
			this.in = in;
		}

		int read() throws IOException {
			if (this.at == this.end) {
				this.end = this.in.read(this.buffer);
				this.at = 0;
				if (this.end < 0) {
					this.end = 0;
					return -1;
				}
			}
			return this.buffer[this.at++] & 0xff;
		}

		String line() throws IOException {
			StringBuilder line = new StringBuilder();
			while (true) {
				int next = read();
				if (next < 0) {
					if (line.length() == 0) {
						return null;
					}
					throw new EOFException("the connection ended in a line");
				}
				if (next == '\n') {
					return line.toString();
				}
				if (next != '\r') {
					line.append((char) next);
				}
			}
		}

		/** Returns the head of the next message, or null at the end of the connection. */
		Message head() throws IOException {
			String first = line();
			if (first == null) {
				return null;
			}
			Message message = new Message();
			message.first = first;
			for (String line = line(); line != null && !line.isEmpty(); line = line()) {
				int colon = line.indexOf(':');
				message.headers.add(new String[] { line.substring(0, colon).trim(), line.substring(colon + 1).trim() });
			}
			return message;
		}

		byte[] bytes(int count) throws IOException {
			byte[] result = new byte[count];
			for (int i = 0; i < count;) {
				if (this.at < this.end) {
					int part = Math.min(count - i, this.end - this.at);
					System.arraycopy(this.buffer, this.at, result, i, part);
					this.at += part;
					i += part;
				}
				else {
					int next = read();
					if (next < 0) {
						throw new EOFException("the connection ended in a body");
					}
					result[i++] = (byte) next;
				}
			}
			return result;
		}

		/** Reads the body of a message, which stays incomplete if the connection ends. */
		void body(Message message, boolean untilClose) throws IOException {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			try {
				String length = message.header("Content-Length");
				if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
					while (true) {
						String size = line();
						if (size == null) {
							throw new EOFException("the connection ended between chunks");
						}
						int count = Integer.parseInt(size.trim(), 16);
						if (count > 0) {
							body.write(bytes(count));
						}
						line();
						if (count == 0) {
							break;
						}
					}
				}
				else if (length != null) {
					body.write(bytes(Integer.parseInt(length)));
				}
				else if (untilClose) {
					for (int next = read(); next >= 0; next = read()) {
						body.write(next);
					}
				}
				message.complete = true;
			}
			finally {
				message.body = body.toByteArray();
			}
		}

	}

	/** Server with one thread for each connection. */
	abstract static class Server implements Closeable {

		final String host;

		final int port;

		private final ServerSocket socket;

		final Set<Socket> open = ConcurrentHashMap.newKeySet();

		volatile boolean closed;

		Server(String host) {
			this(host, 0);
		}

		Server(String host, int chosenPort) {
			this.host = host;
			try {
				this.socket = new ServerSocket();
				this.socket.setReuseAddress(true);
				this.socket.bind(new InetSocketAddress(host, chosenPort), 1024);
				this.port = this.socket.getLocalPort();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
			start("server-" + host, () -> {
				while (true) {
					Socket connection = this.socket.accept();
					connection.setTcpNoDelay(true);
					this.open.add(connection);
					start("connection-" + host, () -> {
						try (connection) {
							serve(connection);
						}
						finally {
							this.open.remove(connection);
						}
					});
				}
			});
		}

		String address() {
			return this.host + ":" + this.port;
		}

		abstract void serve(Socket connection) throws Exception;

		/** Ends like a killed process: nothing listens, and connections are reset. */
		@Override
		public void close() {
			this.closed = true;
			try {
				this.socket.close();
				for (Socket connection : this.open) {
					connection.setSoLinger(true, 0);
					connection.close();
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

	/** The platform's store, as far as an entry daemon uses it. */
	static final class Store extends Server {

		private static final long ANSWER_MILLIS = 4;

		private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();

		private final List<Row> history = new ArrayList<>();

		private long version;

		/** Header that tells for how long idle connections stay open, empty for none. */
		volatile String keepAlive = "";

		private record Row(String table, String key, String value, long version, boolean removed) {

		}

		Store(String host) {
			super(host);
		}

		synchronized long put(String table, String key, String value) {
			Row row = new Row(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)),
					++this.version, false);
			this.tables.computeIfAbsent(table, (name) -> new TreeMap<>()).put(key, row);
			this.history.add(row);
			notifyAll();
			return this.version;
		}

		synchronized long remove(String table, String key) {
			Row before = this.tables.getOrDefault(table, new TreeMap<>()).remove(key);
			if (before != null) {
				this.history.add(new Row(table, key, "", ++this.version, true));
				notifyAll();
			}
			return this.version;
		}

		synchronized boolean has(String table, String key) {
			return this.tables.getOrDefault(table, new TreeMap<>()).containsKey(key);
		}

		@Override
		void serve(Socket connection) throws Exception {
			Reader reader = new Reader(connection.getInputStream());
			OutputStream out = connection.getOutputStream();
			for (Message call = reader.head(); call != null; call = reader.head()) {
				reader.body(call, false);
				String target = call.target();
				Map<String, String> query = query(target);
				int status = 200;
				String body;
				sleep(ANSWER_MILLIS);
				if (target.startsWith("/api/rows-get")) {
					body = get(query);
				}
				else if (target.startsWith("/api/rows-feed")) {
					body = feed(query);
				}
				else if (target.startsWith("/api/rows-tx")) {
					Map<?, ?> tx = (Map<?, ?>) new Json(new String(call.body, StandardCharsets.UTF_8)).value();
					StringBuilder result = new StringBuilder();
					status = apply(tx, result) ? 200 : 412;
					body = result.toString();
				}
				else {
					status = 404;
					body = "{}";
				}
				byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
				out.write(("HTTP/1.1 " + status + " X\r\n" + this.keepAlive
						+ "Content-Type: application/json\r\nContent-Length: "
						+ bytes.length + "\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				out.write(bytes);
				out.flush();
			}
		}

		private static Map<String, String> query(String target) {
			Map<String, String> query = new LinkedHashMap<>();
			int at = target.indexOf('?');
			if (at >= 0) {
				for (String pair : target.substring(at + 1).split("&")) {
					int sign = pair.indexOf('=');
					query.put(pair.substring(0, sign),
							java.net.URLDecoder.decode(pair.substring(sign + 1), StandardCharsets.UTF_8));
				}
			}
			return query;
		}

		private synchronized String get(Map<String, String> query) {
			int limit = Integer.parseInt(query.getOrDefault("Limit", "500"));
			StringBuilder rows = new StringBuilder();
			int count = 0;
			boolean more = false;
			for (Row row : this.tables.getOrDefault(query.get("Table"), new TreeMap<>())
				.tailMap(query.getOrDefault("From", ""), true)
				.values()) {
				if (count == Math.min(limit, 500)) {
					more = true;
					break;
				}
				rows.append((count++ > 0) ? "," : "").append(json(row));
			}
			return "{\"Rows\":[" + rows + "],\"HasMore\":" + more + ",\"Ver\":" + this.version + ",\"NowMs\":" + now()
					+ "}";
		}

		private synchronized String feed(Map<String, String> query) throws InterruptedException {
			long after = Long.parseLong(query.get("After"));
			long until = now() + Long.parseLong(query.get("WaitMs"));
			while (true) {
				StringBuilder rows = new StringBuilder();
				for (Row row : this.history) {
					if (row.version > after && row.table.equals(query.get("Table"))) {
						rows.append((rows.length() > 0) ? "," : "").append(json(row));
					}
				}
				long rest = until - now();
				if (rows.length() > 0 || rest <= 0) {
					return "{\"Rows\":[" + rows + "],\"Ver\":" + this.version + ",\"NowMs\":" + now() + "}";
				}
				wait(rest);
			}
		}

		private static String json(Row row) {
			return "{\"Table\":\"" + row.table + "\",\"part\":\"\",\"Key\":\"" + row.key + "\",\"Value\":\"" + row.value
					+ "\",\"Ver\":" + row.version + (row.removed ? ",\"Removed\":true" : "") + "}";
		}

		private synchronized boolean apply(Map<?, ?> tx, StringBuilder result) {
			StringBuilder current = new StringBuilder();
			boolean fits = true;
			for (Object entry : (List<?>) tx.get("ExpectedRev")) {
				Map<?, ?> expected = (Map<?, ?>) entry;
				Row row = this.tables.getOrDefault((String) expected.get("Table"), new TreeMap<>())
					.get((String) expected.get("Key"));
				fits &= ((Number) expected.get("Ver")).longValue() == ((row != null) ? row.version : 0);
				if (row != null) {
					current.append((current.length() > 0) ? "," : "").append(json(row));
				}
			}
			if (!fits) {
				result.append("{\"Rows\":[").append(current).append("],\"Ver\":").append(this.version).append("}");
				return false;
			}
			this.version++;
			for (Object entry : (List<?>) tx.get("Puts")) {
				Map<?, ?> put = (Map<?, ?>) entry;
				Row row = new Row((String) put.get("Table"), (String) put.get("Key"), (String) put.get("Value"),
						this.version, false);
				this.tables.computeIfAbsent(row.table, (name) -> new TreeMap<>()).put(row.key, row);
				this.history.add(row);
			}
			for (Object entry : (List<?>) tx.get("Remove")) {
				Map<?, ?> drop = (Map<?, ?>) entry;
				Row row = new Row((String) drop.get("Table"), (String) drop.get("Key"), "", this.version, true);
				this.tables.getOrDefault(row.table, new TreeMap<>()).remove(row.key);
				this.history.add(row);
			}
			result.append("{\"Ver\":").append(this.version).append(",\"NowMs\":").append(now()).append("}");
			notifyAll();
			return true;
		}

	}

	/** Parser for the documents that an entry daemon writes. */
	static final class Json {

		private final String text;

		private int at;

		Json(String text) {
			this.text = text;
		}

		Object value() {
			space();
			char first = this.text.charAt(this.at);
			if (first == '{') {
				Map<String, Object> map = new LinkedHashMap<>();
				this.at++;
				for (space(); this.text.charAt(this.at) != '}'; space()) {
					String key = (String) value();
					space();
					this.at++;
					map.put(key, value());
					comma();
				}
				this.at++;
				return map;
			}
			if (first == '[') {
				List<Object> list = new ArrayList<>();
				this.at++;
				for (space(); this.text.charAt(this.at) != ']'; space()) {
					list.add(value());
					comma();
				}
				this.at++;
				return list;
			}
			if (first == '"') {
				return string();
			}
			int from = this.at;
			while (this.at < this.text.length() && ",}] \n".indexOf(this.text.charAt(this.at)) < 0) {
				this.at++;
			}
			String word = this.text.substring(from, this.at);
			return switch (word) {
				case "true" -> true;
				case "false" -> false;
				case "null" -> null;
				default -> Double.valueOf(word);
			};
		}

		private String string() {
			StringBuilder result = new StringBuilder();
			for (this.at++; this.text.charAt(this.at) != '"'; this.at++) {
				char next = this.text.charAt(this.at);
				if (next == '\\') {
					next = this.text.charAt(++this.at);
					if (next == 'u') {
						next = (char) Integer.parseInt(this.text.substring(this.at + 1, this.at + 5), 16);
						this.at += 4;
					}
					else if (next == 'n') {
						next = '\n';
					}
				}
				result.append(next);
			}
			this.at++;
			return result.toString();
		}

		private void comma() {
			space();
			if (this.text.charAt(this.at) == ',') {
				this.at++;
			}
		}

		private void space() {
			while (this.at < this.text.length() && Character.isWhitespace(this.text.charAt(this.at))) {
				this.at++;
			}
		}

	}

	/** Proxy for one target, whose open connections can be silenced. */
	static final class Proxy extends Server {

		private final String targetHost;

		private final int targetPort;

		private final AtomicLong silencedBefore = new AtomicLong(-1);

		private final AtomicLong accepted = new AtomicLong();

		/** Connections that are kept open though nothing is passed on. */
		private final Set<Socket> kept = ConcurrentHashMap.newKeySet();

		Proxy(String host, String targetHost, int targetPort) {
			super(host);
			this.targetHost = targetHost;
			this.targetPort = targetPort;
		}

		/** From now on, open connections pass nothing on; new ones work. */
		int silenceOpen() {
			this.silencedBefore.set(this.accepted.get());
			return this.open.size();
		}

		/** From now on, open connections are reset; new ones work. */
		void resetOpen() {
			try {
				for (Socket connection : this.open) {
					connection.setSoLinger(true, 0);
					connection.close();
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		@Override
		void serve(Socket near) throws Exception {
			long number = this.accepted.incrementAndGet();
			Socket far = new Socket(this.targetHost, this.targetPort);
			far.setTcpNoDelay(true);
			Thread back = start("proxy-back", () -> pump(number, far, near));
			pump(number, near, far);
			back.join();
		}

		private void pump(long number, Socket from, Socket to) throws IOException {
			byte[] bytes = new byte[65536];
			try {
				for (int count = from.getInputStream().read(bytes); count >= 0; count = from.getInputStream()
					.read(bytes)) {
					if (number > this.silencedBefore.get()) {
						to.getOutputStream().write(bytes, 0, count);
					}
				}
			}
			finally {
				if (number > this.silencedBefore.get()) {
					to.close();
				}
				else {
					this.kept.add(to);
				}
			}
		}

	}

	/** One run of a request at a runner. */
	record Run(String runner, String id, String method, String target, long at, int bodyBytes, String tenant) {

	}

	/** A runner that registers in the store and answers requests. */
	static class Runner extends Server {

		final String id;

		final String service;

		/** Entries are removed after this many intervals without a heartbeat. */
		static final int LAPSE_INTERVALS = 3;

		final String zone;

		final int slots;

		final Store store;

		/** Additional fields of the entry, such as those of an engine. */
		String entryFields = "";

		volatile String state = "ready";

		volatile boolean registered = true;

		volatile long workMillis = 15;

		final long born = System.currentTimeMillis();

		private long beats;

		volatile long lastBeat;

		final List<Run> runs = java.util.Collections.synchronizedList(new ArrayList<>());

		Runner(String host, String id, String service, String zone, int slots, Store store) {
			this(host, 0, id, service, zone, slots, store);
		}

		Runner(String host, int chosenPort, String id, String service, String zone, int slots, Store store) {
			super(host, chosenPort);
			this.id = id;
			this.service = service;
			this.zone = zone;
			this.slots = slots;
			this.store = store;
		}

		void register(long heartbeatMillis) {
			writeEntry();
			start("heartbeat-" + this.id, () -> {
				long beat = now();
				while (!this.closed) {
					sleep(10);
					if (this.registered && !this.closed && now() - beat >= heartbeatMillis) {
						writeEntry();
						beat = now();
					}
				}
				// The platform removes the entry of a runner that has crashed.
				sleepUntil(this.lastBeat + LAPSE_INTERVALS * heartbeatMillis);
				if (this.registered) {
					record("the entry of %s has lapsed", this.id);
					this.store.remove("servers", this.id);
				}
			});
		}

		synchronized void writeEntry() {
			if (this.registered) {
				this.lastBeat = now();
				this.store.put("servers", this.id, nextEntry());
			}
		}

		private String nextEntry() {
			return "{\"Service\":\"" + this.service + "\",\"Address\":\"" + address() + "\",\"Zone\":\"" + this.zone
					+ "\",\"Version\":\"v1\",\"Slots\":" + this.slots + ",\"State\":\"" + this.state
					+ "\",\"ColdRemainingMs\":0,\"born\":" + this.born + this.entryFields + ",\"Seq\":" + ++this.beats
					+ "}";
		}

		/** Makes the next heartbeat, which reaches the store now unless its call is lost. */
		synchronized String loseHeartbeat(boolean lost) {
			String entry = nextEntry();
			if (!lost) {
				this.store.put("servers", this.id, entry);
			}
			return entry;
		}

		/** Removes the entry, as a runner does that leaves without a notice. */
		synchronized void unregister() {
			this.registered = false;
			this.store.remove("servers", this.id);
		}

		@Override
		void serve(Socket connection) throws Exception {
			Reader reader = new Reader(connection.getInputStream());
			OutputStream out = connection.getOutputStream();
			for (Message request = reader.head(); request != null; request = reader.head()) {
				reader.body(request, false);
				String expected = request.header("X-Bilberryvalve-Expect-Instance");
				if (expected != null && !expected.equals(this.id)) {
					write(out, "421 Misdirected Request", "X-Bilberryvalve-Served-By: " + this.id + "\r\n", new byte[0]);
				}
				else if (request.target().equals("/api/report")) {
					record("runner %s reports %s", this.id, report());
					write(out, "200 OK", "Content-Type: application/json\r\n",
							report().getBytes(StandardCharsets.UTF_8));
				}
				else if (request.target().equals("/api/order")) {
					String status = order(request);
					record("runner %s gets the order %s for %s: %s", this.id,
							new String(request.body, StandardCharsets.UTF_8), expected, status);
					if (status == null) {
						return;
					}
					write(out, status, "", new byte[0]);
				}
				else if (!answer(request, out, connection)) {
					return;
				}
			}
		}

		String report() {
			return "{\"Busy\":false,\"Seq\":0,\"Stalled\":[]}";
		}

		/** Returns the status with which an order is answered, or null to end. */
		String order(Message request) {
			return "400 Bad Request";
		}

		void began(Message request) {
			Run run = new Run(this.id, request.header("X-Bilberryvalve-Attempt-Id"), request.method(), request.target(),
					now(), request.body.length, request.header("X-Bilberryvalve-Tenant"));
			this.runs.add(run);
			record("runner %s runs %s %s %s", this.id, run.id, run.method, run.target);
		}

		/** Answers a request; returns whether the connection stays open. */
		boolean answer(Message request, OutputStream out, Socket connection) throws Exception {
			began(request);
			sleep(this.workMillis);
			write(out, "200 OK", seal(request), ("done by " + this.id).getBytes(StandardCharsets.UTF_8));
			return true;
		}

		String seal(Message request) {
			return "X-Bilberryvalve-Attempt-Id: " + request.header("X-Bilberryvalve-Attempt-Id")
					+ "\r\nX-Bilberryvalve-Response-Seal: " + this.id + "." + now()
					+ "\r\nKeep-Alive: timeout=10\r\n";
		}

		static void write(OutputStream out, String status, String headers, byte[] body) throws IOException {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			all.write(("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			all.write(body);
			out.write(all.toByteArray());
			out.flush();
		}

	}

	/** A runner of an engine, which takes orders and streams events. */
	static class Engine extends Runner {

		volatile int events = 20;

		volatile long gapMillis = 50;

		/** Layers that it holds: the first one and the end; equal if it holds none. */
		volatile int from;

		volatile int to;

		/** Number of orders that it has accepted. */
		volatile int accepted;

		volatile long busyUntil;

		/** Memory of the card in layers of its model. */
		int maxLayers = Integer.MAX_VALUE;

		/** Time to load all layers of the model. */
		long loadMillis;

		int modelLayers;

		/** An order that exceeded the memory, as text. */
		volatile String excess;

		private final String card;

		private double fence;

		Engine(String host, String id, String service, String zone, int slots, Store store, String card, int layers) {
			this(host, 0, id, service, zone, slots, store, card, layers);
		}

		Engine(String host, int chosenPort, String id, String service, String zone, int slots, Store store, String card,
				int layers) {
			super(host, chosenPort, id, service, zone, slots, store);
			this.card = card;
			this.to = layers;
			this.modelLayers = Math.max(1, layers);
		}

		@Override
		synchronized void writeEntry() {
			boolean holds = this.to > this.from && now() >= this.busyUntil;
			this.entryFields = ",\"Kind\":\"" + this.card + "\",\"Layers\":{\"From\":" + (holds ? this.from : 0)
					+ ",\"To\":" + (holds ? this.to : 0) + ",\"Version\":1}";
			super.writeEntry();
		}

		@Override
		String report() {
			boolean holds = this.to > this.from && now() >= this.busyUntil;
			return "{\"Busy\":" + (now() < this.busyUntil) + ",\"Seq\":" + this.accepted + ",\"Layers\":{\"From\":"
					+ (holds ? this.from : 0) + ",\"To\":" + (holds ? this.to : 0)
					+ ",\"Version\":1},\"Stalled\":[]}";
		}

		/** Carries out an order, or refuses it as the protocol says. */
		@Override
		synchronized String order(Message request) {
			Map<?, ?> order = (Map<?, ?>) new Json(new String(request.body, StandardCharsets.UTF_8)).value();
			if (!"place".equals(order.get("Operation"))) {
				return "400 Bad Request";
			}
			int first = ((Number) order.get("From")).intValue();
			int end = ((Number) order.get("To")).intValue();
			double token = ((Number) order.get("FenceToken")).doubleValue();
			if (token < this.fence) {
				return "412 Precondition Failed";
			}
			this.fence = token;
			if (first == this.from && end == this.to) {
				return "200 OK";
			}
			if (now() < this.busyUntil || ((Number) order.get("ExpectedRev")).intValue() != this.accepted) {
				return "409 Conflict";
			}
			this.accepted++;
			if (end - first > this.maxLayers) {
				this.excess = "layers " + first + " to " + end + ", its memory holds " + this.maxLayers;
				record("runner %s of service %s is ordered to hold %s", this.id, this.service, this.excess);
				close();
				return null;
			}
			this.from = first;
			this.to = end;
			this.busyUntil = now() + this.loadMillis * (end - first) / this.modelLayers;
			start("loaded-" + this.id, () -> {
				sleepUntil(this.busyUntil + 5);
				if (!this.closed) {
					writeEntry();
				}
			});
			return "202 Accepted";
		}

		@Override
		boolean answer(Message request, OutputStream out, Socket connection) throws Exception {
			String path = request.header("X-Bilberryvalve-Hop-Count");
			String part = (path != null) ? path.split(",")[0].split("=")[1] : "0-" + this.modelLayers;
			int first = Integer.parseInt(part.split("-")[0]);
			int end = Integer.parseInt(part.split("-")[1]);
			if (now() < this.busyUntil || first < this.from || end > this.to) {
				write(out, "421 Misdirected Request", "At-Server: " + address() + "\r\n", new byte[0]);
				return true;
			}
			began(request);
			sleep(this.workMillis);
			String last = request.header("Last-Event-Id");
			out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + seal(request)
					+ "Transfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			for (int i = (last != null) ? Integer.parseInt(last) + 1 : 1; i <= this.events; i++) {
				String event = "id: " + i + "\ndata: piece " + i + "\n\n";
				out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
				out.flush();
				sleep(this.gapMillis);
			}
			out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			return true;
		}

	}

	/** The entry daemon as a separate process. */
	static final class Daemon {

		private static final List<Daemon> ALL = new ArrayList<>();

		final String host;

		final String name;

		final int frontPort;

		final int readyPort;

		final int directoryPort;

		private final Path folder;

		private Process process;

		Daemon(String host, String name, String zone, String storeAddress) throws IOException {
			this.host = host;
			this.name = name;
			this.frontPort = freePort(host);
			this.readyPort = freePort(host);
			this.directoryPort = freePort(host);
			int internal = freeDatagramPort(host);
			this.folder = Files.createTempDirectory("review-" + name);
			Files.writeString(this.folder.resolve("local.json"), """
					{"NodeName":"%s","Role":"entry","MachineClass":"front","Serves":["front","directory"],"Ip":"%s",
					"Zone":"%s","Region":"rs-sul","Zones":{"sul-a":"rs-sul","sul-b":"rs-sul","sul-c":"rs-sul"},
					"Listen":{"Front":"%s:%d","Ready":"%s:%d","Directory":"%s:%d"},"InternalPorts":[%d,%d],
					"Seeds":[],"Bootstrap":true,"InLossBudget":false,
					"Limits":{"CpuShare":0.75,"Cores":2,"MemoryMb":690,"MaxFds":8200,"LinkMbps":2000.0,"DiskMb":0},
					"DataDir":null,"Discovery":"platform","Entry":"directory","HeartbeatMs":1200,
					"Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"],
					"FaultTolerance":{"Machines":1,"Zones":0,"Regions":0},
					"Bounds":{"SeedLagS":3,"ReuseAfterS":2,"StableWindowMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,
					"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"OuterMs":5000,
					"RevokeStrict":false,"RevokeMs":5000,"BudgetRatio":0.2,"BudgetWindowS":10,"BudgetSlack":202,
					"RecoveryS":12,"PassMs":120,"RetryAfterS":0,"stall_ms":2000,"RequireFence":true,"ttl_max_s":5},
					"Platform":{"Address":"%s","form":"table","WritesPerS":400,"ReadsPerS":2000,"TxMs":5.0,
					"PartWritesS":200,"RowBytes":65536,"Across":false,"HistoryS":20,"BlobBytes":8388608,"BlobMs":25.0,
					"BlobMbS":80.0}}
					""".formatted(name, host, zone, host, this.frontPort, host, this.readyPort, host,
					this.directoryPort, internal, internal, storeAddress));
			synchronized (ALL) {
				ALL.add(this);
			}
		}

		private static List<String> command() throws IOException {
			for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
				if (line.startsWith("run = ")) {
					return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
				}
			}
			throw new IOException("deploy/system.toml has no run command");
		}

		void start() throws IOException {
			ProcessBuilder builder = new ProcessBuilder(command());
			builder.environment().put("BILBERRYVALVE_NODE_FILE", this.folder.resolve("local.json").toString());
			builder.redirectErrorStream(true);
			builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve("log").toFile()));
			this.process = builder.start();
			record("daemon %s started", this.name);
		}

		Path log() {
			return this.folder.resolve("log");
		}

		boolean isAlive() {
			return this.process.isAlive();
		}

		int exitCode() {
			return this.process.isAlive() ? -1 : this.process.exitValue();
		}

		void signal(String name) throws Exception {
			record("daemon %s gets SIG%s", this.name, name);
			new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
		}

		boolean awaitReady(long millis) {
			long until = now() + millis;
			while (now() < until) {
				if (isReady()) {
					record("daemon %s is ready", this.name);
					return true;
				}
				sleep(50);
			}
			record("daemon %s is not ready, alive: %s; its log ends with:", this.name, isAlive());
			try {
				List<String> lines = Files.readAllLines(log());
				lines.subList(Math.max(0, lines.size() - 20), lines.size()).forEach((line) -> record("%s", line));
			}
			catch (IOException ex) {
				record("no log: %s", ex);
			}
			return false;
		}

		boolean isReady() {
			try (Client client = new Client(this.host, this.readyPort)) {
				Message answer = client.call("GET", "/api/ready", "", null, 1000);
				return answer.status() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		/** Returns the number of lines of the log that contain a text. */
		long logLines(String text) throws IOException {
			try (java.util.stream.Stream<String> lines = Files.lines(log())) {
				return lines.filter((line) -> line.contains(text)).count();
			}
		}

		/** Deletes settings and logs, unless the variable KEEP is set. */
		static void deleteFolders() {
			if (System.getenv("KEEP") == null) {
				synchronized (ALL) {
					for (Daemon daemon : ALL) {
						daemon.log().toFile().delete();
						daemon.folder.resolve("local.json").toFile().delete();
						daemon.folder.toFile().delete();
					}
				}
			}
		}

		static void killAll() {
			synchronized (ALL) {
				for (Daemon daemon : ALL) {
					if (daemon.process != null && daemon.process.isAlive()) {
						daemon.process.destroyForcibly();
						try {
							daemon.process.waitFor(5, TimeUnit.SECONDS);
						}
						catch (InterruptedException ex) {
							Thread.currentThread().interrupt();
						}
					}
				}
			}
		}

	}

	/** One connection of a client. */
	static final class Client implements Closeable {

		final Socket socket;

		private final Reader reader;

		Client(String host, int port) throws IOException {
			this.socket = new Socket();
			this.socket.setTcpNoDelay(true);
			this.socket.connect(new InetSocketAddress(host, port), 1000);
			this.reader = new Reader(this.socket.getInputStream());
		}

		void send(String method, String target, String headers, byte[] body) throws IOException {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			all.write((method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\n" + headers
					+ ((body != null) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			if (body != null) {
				all.write(body);
			}
			OutputStream out = this.socket.getOutputStream();
			out.write(all.toByteArray());
			out.flush();
		}

		/** Reads an answer; it has no first line if the connection ended before one. */
		Message receive(int timeoutMillis) throws IOException {
			this.socket.setSoTimeout(timeoutMillis);
			Message answer = this.reader.head();
			if (answer == null) {
				throw new EOFException("the connection ended without an answer");
			}
			try {
				this.reader.body(answer, true);
			}
			catch (EOFException | java.net.SocketException ex) {
				record("an answer with status %d is cut off after %d bytes", answer.status(), answer.body.length);
			}
			return answer;
		}

		Message call(String method, String target, String headers, byte[] body, int timeoutMillis) throws IOException {
			send(method, target, headers, body);
			return receive(timeoutMillis);
		}

		@Override
		public void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// The connection is gone in any case.
			}
		}

	}

	/** Headers of a request. */
	static String headers(String id, long deadlineMillis) {
		return "X-Bilberryvalve-Attempt-Id: " + id + "\r\nX-Bilberryvalve-Deadline-Ms: " + deadlineMillis + "\r\n";
	}

	/** A configuration with an order route, a stock route and, if asked, a streaming route. */
	static String configuration(long version, int orderTimeout, boolean streaming) {
		String routes = "{\"Name\":\"r-order\",\"Host\":\"shop.example\",\"Prefix\":\"/order/\",\"Kind\":\"non_idempotent\","
				+ "\"TimeoutMs\":" + orderTimeout + ",\"TargetLatencyMs\":121,\"Priority\":2,\"Service\":\"orders\","
				+ "\"MaxAttempts\":1,\"Public\":true,\"Sticky\":false,\"Resumable\":false},"
				+ "{\"Name\":\"r-stock\",\"Host\":\"shop.example\",\"Prefix\":\"/stock/\",\"Kind\":\"idempotent\","
				+ "\"TimeoutMs\":600,\"TargetLatencyMs\":121,\"Priority\":2,\"Service\":\"orders\","
				+ "\"MaxAttempts\":2,\"Public\":true,\"Sticky\":false,\"Resumable\":false}";
		String services = "{\"Name\":\"orders\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}";
		if (streaming) {
			routes += ",{\"Name\":\"r-draft\",\"Host\":\"shop.example\",\"Prefix\":\"/draft/\",\"Kind\":\"streaming\","
					+ "\"TimeoutMs\":20000,\"TargetLatencyMs\":500,\"TargetGapMs\":200,\"Priority\":1,"
					+ "\"Service\":\"model\",\"MaxAttempts\":2,\"Public\":true,\"Sticky\":true,\"Resumable\":true}";
			services += ",{\"Name\":\"model\",\"HealthPath\":\"/health\",\"MaxConns\":1138,\"Protocol\":\"h1\",\"Tls\":false,"
					+ "\"Engine\":{\"Slots\":134,\"KvCapacityTokens\":69791,\"KvTokenBytes\":1000,\"LinkMbps\":480000.0,"
					+ "\"Stride\":2,\"Models\":[{\"Name\":\"m0\",\"pace\":1.0,\"LoadS\":14.0,\"WarmS\":1.0}],"
					+ "\"step_ms\":0.85,\"per_seq_ms\":0.0055,\"context_per_k\":0.0073,\"read_per_s\":196000.0,"
					+ "\"pairs_per_m\":0.166,\"chunk\":512,\"report_lag_ms\":200.0,\"loads_at_once\":6,\"delays\":[],"
					+ "\"usual\":{\"prompt\":772,\"answer\":172},\"Layers\":4,\"LayerMb\":100.0,\"ActBytes\":42268,"
					+ "\"PipeMbps\":9000.0,\"Kinds\":[{\"Name\":\"h100\",\"Mb\":72000.0,\"pace\":1.4,\"ReadX\":1.0}]}}";
		}
		return document(version, routes, services, "[]");
	}

	static String document(long version, String routes, String services, String tenants) {
		return "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":[" + services
				+ "],\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
				+ "\"IdleTimeoutMs\":15000},\"Tenants\":" + tenants + "}";
	}

}
