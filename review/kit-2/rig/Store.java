package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: tables of rows with one version counter. Its history is kept. */
final class Store extends Listener {

	private record Row(String table, String key, String value, long version, boolean removed) {

		String json() {
			return "{\"Table\":" + Json.quote(this.table) + ",\"part\":\"\",\"Key\":" + Json.quote(this.key)
					+ (this.removed ? ",\"Removed\":true" : ",\"Value\":\"" + this.value + "\"") + ",\"Ver\":"
					+ this.version + "}";
		}

	}

	private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

	private final List<Row> history = new ArrayList<>();

	private long version = 1;

	Store(String ip) throws IOException {
		super(ip);
	}

	synchronized void put(String table, String key, String value) {
		putEncoded(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)),
				++this.version);
		notifyAll();
	}

	synchronized void remove(String table, String key) {
		if (this.tables.getOrDefault(table, new TreeMap<>()).remove(key) != null) {
			this.history.add(new Row(table, key, "", ++this.version, true));
			notifyAll();
		}
	}

	synchronized String value(String table, String key) {
		Row row = this.tables.getOrDefault(table, new TreeMap<>()).get(key);
		return (row != null) ? new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8) : null;
	}

	private void putEncoded(String table, String key, String value, long at) {
		Row row = new Row(table, key, value, at, false);
		this.tables.computeIfAbsent(table, (name) -> new TreeMap<>()).put(key, row);
		this.history.add(row);
	}

	@Override
	void handle(Socket socket) throws IOException {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		for (Http.Message request = Http.read(in, false); request != null; request = Http.read(in, false)) {
			String[] answer = answer(request);
			Http.write(socket.getOutputStream(),
					"HTTP/1.1 " + answer[0] + " X\r\nContent-Type: application/json\r\n",
					answer[1].getBytes(StandardCharsets.UTF_8));
		}
	}

	private String[] answer(Http.Message request) {
		String path = request.target();
		Map<String, String> query = new HashMap<>();
		int mark = path.indexOf('?');
		if (mark >= 0) {
			for (String pair : path.substring(mark + 1).split("&")) {
				int at = pair.indexOf('=');
				query.put(pair.substring(0, at), URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
			}
			path = path.substring(0, mark);
		}
		return switch (path) {
			case "/api/rows-get" -> get(query);
			case "/api/rows-feed" -> feed(query);
			case "/api/rows-tx" -> transact(Json.parse(new String(request.body(), StandardCharsets.UTF_8)));
			default -> new String[] { "404", "{}" };
		};
	}

	private String ends() {
		return ",\"Ver\":" + this.version + ",\"NowMs\":" + System.nanoTime() / 1_000_000 + "}";
	}

	private static String rows(List<Row> rows) {
		return "{\"Rows\":[" + String.join(",", rows.stream().map(Row::json).toList()) + "]";
	}

	private synchronized String[] get(Map<String, String> query) {
		TreeMap<String, Row> table = this.tables.getOrDefault(query.get("Table"), new TreeMap<>());
		int limit = Integer.parseInt(query.getOrDefault("Limit", "500"));
		List<Row> rows = new ArrayList<>(table.tailMap(query.getOrDefault("From", ""), true).values());
		boolean more = rows.size() > limit;
		return new String[] { "200",
				rows(more ? rows.subList(0, limit) : rows) + ",\"HasMore\":" + more + ends() };
	}

	private synchronized String[] feed(Map<String, String> query) {
		long after = Long.parseLong(query.get("After"));
		long until = System.nanoTime() + Long.parseLong(query.getOrDefault("WaitMs", "0")) * 1_000_000;
		while (true) {
			List<Row> changed = this.history.stream()
				.filter((row) -> row.version > after && row.table.equals(query.get("Table")))
				.toList();
			long left = (until - System.nanoTime()) / 1_000_000;
			if (!changed.isEmpty() || left <= 0) {
				return new String[] { "200", rows(changed) + ends() };
			}
			try {
				wait(left);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	@SuppressWarnings("unchecked")
	private synchronized String[] transact(Map<String, Object> body) {
		List<Row> current = new ArrayList<>();
		boolean fits = true;
		for (Object entry : (List<Object>) body.getOrDefault("ExpectedRev", List.of())) {
			Map<String, Object> row = (Map<String, Object>) entry;
			Row known = this.tables.getOrDefault(row.get("Table"), new TreeMap<>()).get(row.get("Key"));
			long expected = ((Number) row.get("Ver")).longValue();
			fits &= expected == ((known != null) ? known.version : 0);
			if (known != null) {
				current.add(known);
			}
		}
		if (!fits) {
			return new String[] { "412", rows(current) + ends() };
		}
		this.version++;
		for (Object entry : (List<Object>) body.getOrDefault("Puts", List.of())) {
			Map<String, Object> row = (Map<String, Object>) entry;
			putEncoded((String) row.get("Table"), (String) row.get("Key"), (String) row.get("Value"), this.version);
		}
		for (Object entry : (List<Object>) body.getOrDefault("Remove", List.of())) {
			Map<String, Object> row = (Map<String, Object>) entry;
			this.tables.getOrDefault(row.get("Table"), new TreeMap<>()).remove(row.get("Key"));
			this.history.add(new Row((String) row.get("Table"), (String) row.get("Key"), "", this.version, true));
		}
		notifyAll();
		return new String[] { "200", "{\"Ver\":" + this.version + ",\"NowMs\":" + System.nanoTime() / 1_000_000 + "}" };
	}

}
