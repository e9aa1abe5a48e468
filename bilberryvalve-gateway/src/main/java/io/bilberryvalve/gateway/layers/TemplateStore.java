package io.bilberryvalve.gateway.layers;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.stream.Collectors;

import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.model.task.GuardedTask;
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
 * uses the same template. The template is computed once all runners are listed, and again
 * when the number of cards has grown too much for it. In a new era of the store, the
 * known template is written again if the store has lost it. Safe for use by several
 * threads.
 */
final class TemplateStore {

	private static final System.Logger LOGGER = System.getLogger(TemplateStore.class.getName());

	private static final String TABLE = "layer-templates";

	/**
	 * Number of heartbeats without a change after which all runners are taken to be
	 * listed.
	 */
	private static final double SETTLE_HEARTBEATS = 1.25;

	/**
	 * Factor by which the number of cards grows until a template is computed again; with
	 * more cards, the old one wastes most of them.
	 */
	private static final double OUTGROWN_FACTOR = 1.25;

	/**
	 * Shortest interval between reads of the store while there is no template or it is
	 * outgrown.
	 */
	private static final long READ_INTERVAL_MILLIS = 500;

	private static final String CARDS = "cards=";

	private final String service;

	private final TableService tables;

	private final Clock clock;

	/**
	 * Runs searches, which take seconds with a hundred cards and must not delay the
	 * renewal of the lease.
	 */
	private final Executor searcher;

	private final long settleMillis;

	private @Nullable SizedTemplate current;

	/** Latest era in which the store was found to hold the template. */
	private long currentEra;

	private int cards = -1;

	private long unchangedSince;

	private long readAfter;

	private boolean pending;

	TemplateStore(String service, TableService tables, Clock clock, Duration heartbeat, Executor searcher) {
		this.service = service;
		this.tables = tables;
		this.clock = clock;
		this.searcher = searcher;
		this.settleMillis = Math.round(heartbeat.toMillis() * SETTLE_HEARTBEATS);
	}

	/**
	 * Returns the template. Reads or computes one in the background if that is due.
	 * @param engine performance of the engines
	 * @param usable all usable cards of the service
	 * @param era era of the store in which this daemon was granted the lease
	 * @return the template, or empty before the first one is available
	 */
	synchronized Optional<LayerTemplate> template(EngineProfile engine, List<Card> usable, long era) {
		if (usable.size() != this.cards) {
			this.cards = usable.size();
			this.unchangedSince = this.clock.millis();
		}
		SizedTemplate known = this.current;
		boolean due = !this.pending && !usable.isEmpty() && this.clock.millis() >= this.readAfter;
		if (due && (known == null || known.isOutgrown(usable.size()) || era > this.currentEra)) {
			this.pending = true;
			this.readAfter = this.clock.millis() + READ_INTERVAL_MILLIS;
			this.tables.read(TABLE, this.service).thenAccept((fetched) -> onRead(engine, usable, fetched));
		}
		return Optional.ofNullable(known).map(SizedTemplate::template);
	}

	private synchronized void onRead(EngineProfile engine, List<Card> usable, ReadResult<Row> fetched) {
		this.pending = false;
		Row row = (fetched instanceof ReadResult.Found<Row> found) ? found.value() : null;
		SizedTemplate known = (row != null) ? parse(row.value(), engine) : null;
		SizedTemplate own = this.current;
		if (own != null && !own.isOutgrown(usable.size()) && !(fetched instanceof ReadResult.Failed<Row>)
				&& (known == null || known.cards < own.cards)) {
			// The store was restored from a copy without the template.
			this.pending = true;
			commit(own, (row != null) ? row.version() : RowOperation.ABSENT);
			return;
		}
		boolean settled = this.clock.millis() - this.unchangedSince >= this.settleMillis;
		if (known != null && !known.isOutgrown(usable.size())) {
			use(known, ((ReadResult.Found<Row>) fetched).era());
		}
		else if (settled && !(fetched instanceof ReadResult.Failed<Row>)) {
			long version = (row != null) ? row.version() : RowOperation.ABSENT;
			this.pending = true;
			this.searcher.execute(
					new GuardedTask("search-template-" + this.service, () -> searchAndCommit(engine, usable, version)));
		}
	}

	private void searchAndCommit(EngineProfile engine, List<Card> usable, long version) {
		LayerTemplate best = new LayerTemplate(engine.layers(), Map.of(), 0);
		try {
			best = new TemplateSearch(engine, usable).best();
		}
		finally {
			commit(best, usable.size(), version);
		}
	}

	private synchronized void commit(LayerTemplate best, int size, long version) {
		if (best.maxLayersByKind().isEmpty()) {
			this.pending = false;
			return;
		}
		commit(new SizedTemplate(best, size), version);
	}

	private void commit(SizedTemplate next, long version) {
		this.tables.commit(List.of(new RowOperation.Put(TABLE, this.service, version, next.format())))
			.thenAccept((commit) -> onCommit(next, commit));
	}

	private synchronized void onCommit(SizedTemplate next, CommitResult commit) {
		this.pending = false;
		if (commit instanceof CommitResult.Committed committed) {
			use(next, committed.era());
		}
	}

	private void use(SizedTemplate next, long era) {
		this.current = next;
		this.currentEra = era;
		LogEvent.of("layer-template")
			.with("service", this.service)
			.with("template", next.format())
			.with("requests-per-second", next.template.requestsPerSecond())
			.log(LOGGER, System.Logger.Level.INFO);
	}

	// Returns null if the row cannot be read, so that the template is computed again and
	// replaces it.
	private static @Nullable SizedTemplate parse(String text, EngineProfile engine) {
		Map<String, Integer> widths = new HashMap<>();
		int size = 0;
		try {
			for (String entry : text.split(",")) {
				int colon = entry.lastIndexOf(':');
				if (entry.startsWith(CARDS)) {
					size = Integer.parseInt(entry.substring(CARDS.length()));
				}
				else if (colon > 0 && engine.cards().containsKey(entry.substring(0, colon))) {
					widths.put(entry.substring(0, colon), Integer.parseInt(entry.substring(colon + 1)));
				}
			}
		}
		catch (NumberFormatException ex) {
			return null;
		}
		boolean possible = size > 0 && !widths.isEmpty()
				&& widths.values().stream().allMatch((width) -> width > 0 && width <= engine.layers());
		return possible ? new SizedTemplate(new LayerTemplate(engine.layers(), widths, 0), size) : null;
	}

	/**
	 * A template with the number of cards for which it was computed.
	 *
	 * @param template layers per kind of card
	 * @param cards number of cards of the service at that time
	 */
	private record SizedTemplate(LayerTemplate template, int cards) {

		boolean isOutgrown(int size) {
			return size >= this.cards * OUTGROWN_FACTOR;
		}

		String format() {
			return CARDS + this.cards + ','
					+ new TreeMap<>(this.template.maxLayersByKind()).entrySet()
						.stream()
						.map((entry) -> entry.getKey() + ":" + entry.getValue())
						.collect(Collectors.joining(","));
		}

	}

}
