package io.bilberryvalve.gateway.layers;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.policy.placement.Card;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.placement.LayerTemplate;
import io.bilberryvalve.policy.placement.TemplateSearch;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the layer template of one service in the store, so that each holder of the lease
 * uses the same widths. It is made once, when all runners are listed, and again when the
 * fleet has outgrown it. Safe for use by several threads.
 */
final class TemplateKeeper {

	private static final System.Logger LOGGER = System.getLogger(TemplateKeeper.class.getName());

	private static final String TABLE = "layer-templates";

	/** Heartbeats within which all runners are listed after a start. */
	private static final double SETTLE_HEARTBEATS = 1.25;

	/**
	 * With so many times the cards for which it was made, a template wastes most of them.
	 */
	private static final double OUTGROWN = 1.25;

	/** Time between reads of the store while there is no template yet. */
	private static final long READ_MILLIS = 500;

	private static final String CARDS = "cards=";

	private final String service;

	private final TableService tables;

	private final Clock clock;

	private final long settleMillis;

	private @Nullable Made made;

	private int cards = -1;

	private long unchangedSince;

	private long readAfter;

	private boolean pending;

	TemplateKeeper(String service, TableService tables, Clock clock, Duration heartbeat) {
		this.service = service;
		this.tables = tables;
		this.clock = clock;
		this.settleMillis = Math.round(heartbeat.toMillis() * SETTLE_HEARTBEATS);
	}

	/**
	 * Returns the template, and reads or makes one in the background if that is due.
	 * @param engine the engines
	 * @param now all cards of the service
	 * @return the template, or empty before the first one
	 */
	synchronized Optional<LayerTemplate> template(EngineProfile engine, List<Card> now) {
		if (now.size() != this.cards) {
			this.cards = now.size();
			this.unchangedSince = this.clock.millis();
		}
		Made known = this.made;
		boolean due = !this.pending && !now.isEmpty() && this.clock.millis() >= this.readAfter;
		if (due && (known == null || known.outgrown(now.size()))) {
			this.pending = true;
			this.readAfter = this.clock.millis() + READ_MILLIS;
			this.tables.read(TABLE, this.service).thenAccept((fetched) -> read(engine, now, fetched));
		}
		return Optional.ofNullable(known).map(Made::template);
	}

	private synchronized void read(EngineProfile engine, List<Card> now, ReadResult<Row> fetched) {
		this.pending = false;
		Row row = (fetched instanceof ReadResult.Found<Row> found) ? found.value() : null;
		Made known = (row != null) ? parse(row.value(), engine.layers()) : null;
		boolean settled = this.clock.millis() - this.unchangedSince >= this.settleMillis;
		if (known != null && !known.outgrown(now.size())) {
			use(known);
		}
		else if (settled && !(fetched instanceof ReadResult.Failed<Row>)) {
			make(new TemplateSearch(engine, now).best(), now.size(),
					(row != null) ? row.version() : RowOperation.ABSENT);
		}
	}

	private void make(LayerTemplate best, int size, long version) {
		if (best.widths().isEmpty()) {
			return;
		}
		Made next = new Made(best, size);
		this.pending = true;
		this.tables.commit(List.of(new RowOperation.Put(TABLE, this.service, version, next.format())))
			.thenAccept((commit) -> stored(next, commit));
	}

	private synchronized void stored(Made next, CommitResult commit) {
		this.pending = false;
		if (commit instanceof CommitResult.Committed) {
			use(next);
		}
	}

	private void use(Made next) {
		this.made = next;
		LogEvent.of("layer-template")
			.with("service", this.service)
			.with("template", next.format())
			.with("requests-per-second", next.template.requestsPerSecond())
			.log(LOGGER, System.Logger.Level.INFO);
	}

	private static @Nullable Made parse(String text, int layers) {
		Map<String, Integer> widths = new HashMap<>();
		int size = 0;
		for (String entry : text.split(",")) {
			int colon = entry.lastIndexOf(':');
			if (colon > 0) {
				widths.put(entry.substring(0, colon), Integer.parseInt(entry.substring(colon + 1)));
			}
			else if (entry.startsWith(CARDS)) {
				size = Integer.parseInt(entry.substring(CARDS.length()));
			}
		}
		return widths.isEmpty() ? null : new Made(new LayerTemplate(layers, widths, 0), size);
	}

	/**
	 * A template with the number of cards for which it was made.
	 *
	 * @param template the template
	 * @param cards number of cards
	 */
	private record Made(LayerTemplate template, int cards) {

		boolean outgrown(int now) {
			return now >= this.cards * OUTGROWN;
		}

		String format() {
			return CARDS + this.cards + ','
					+ new TreeMap<>(this.template.widths()).entrySet()
						.stream()
						.map((entry) -> entry.getKey() + ":" + entry.getValue())
						.collect(Collectors.joining(","));
		}

	}

}
