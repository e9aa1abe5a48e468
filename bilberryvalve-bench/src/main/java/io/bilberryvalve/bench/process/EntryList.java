package io.bilberryvalve.bench.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The entries that a caller uses: asked from the system and kept for the time that the
 * answer allows.
 */
public final class EntryList {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final LocalFederation federation;

	private List<Integer> entries = new ArrayList<>();

	private long expires;

	private int turn;

	/**
	 * Creates a list that is not known yet.
	 * @param federation the federation
	 */
	public EntryList(LocalFederation federation) {
		this.federation = federation;
	}

	/**
	 * Returns the entry for the next request.
	 * @return number of the entry
	 */
	public int next() {
		if (this.entries.isEmpty() || System.nanoTime() > this.expires) {
			refresh();
		}
		this.turn++;
		return this.entries.get(this.turn % this.entries.size());
	}

	private void refresh() {
		for (int entry = 0; entry < this.federation.entries(); entry++) {
			try {
				JsonNode answer = JSON.readTree(this.federation.read("entry-" + entry, "/v1/entries"));
				List<Integer> found = new ArrayList<>();
				answer.get("entries").forEach((item) -> found.add(number(item.get("address").asText())));
				this.expires = System.nanoTime() + TimeUnit.SECONDS.toNanos(answer.get("ttlSeconds").asLong());
				this.entries = found;
				return;
			}
			catch (Exception ex) {
				// An entry that does not answer is passed over, as a caller does.
			}
		}
	}

	private int number(String address) {
		for (int entry = 0; entry < this.federation.entries(); entry++) {
			if (this.federation.address("entry-" + entry).toString().equals(address)) {
				return entry;
			}
		}
		throw new IllegalStateException("the system named the unknown entry " + address);
	}

}
