package io.bilberryvalve.gateway.feed;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

import io.bilberryvalve.gateway.http.CallerExchange;
import io.bilberryvalve.gateway.http.HttpClient;
import io.bilberryvalve.gateway.report.Metrics;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.watch.PollPace;
import io.bilberryvalve.platform.watch.RowMirror;
import io.bilberryvalve.platform.watch.TableFeed;

/**
 * Feed of the watched tables that reads from delegates where it can, and the endpoint at
 * which this daemon answers others.
 */
public final class RowFeeds {

	private final RelayedTableFeed feed;

	private final RowsEndpoint endpoint;

	private RowFeeds(RelayedTableFeed feed, RowsEndpoint endpoint) {
		this.feed = feed;
		this.endpoint = endpoint;
	}

	/**
	 * Creates the feed and the endpoint.
	 * @param store the store
	 * @param renewals the watched tables by name; each predicate tells whether a row,
	 * given the previous one with the same key, only renews it
	 * @param role role of this daemon in its data centre
	 * @param reach records the direct calls to the store
	 * @param httpClient sends requests to delegates
	 * @param metrics counts the reads
	 * @param timer ends waits of other daemons; owned by the caller
	 * @param clock monotonic clock
	 * @return the feed and the endpoint
	 */
	public static RowFeeds create(TableFeed store, Map<String, BiPredicate<Row, Row>> renewals, ReaderRole role,
			StoreReach reach, HttpClient httpClient, Metrics metrics, ScheduledExecutorService timer, Clock clock) {
		Map<String, RowMirror> mirrors = new HashMap<>();
		renewals.forEach((table, renewal) -> mirrors.put(table, new RowMirror(clock, timer, renewal)));
		return new RowFeeds(new RelayedTableFeed(store, new HttpRowRelay(httpClient), role, mirrors, reach, metrics,
				clock, new Random()), new RowsEndpoint(mirrors));
	}

	/**
	 * Returns the feed for the watchers of the tables.
	 * @return the feed; it knows the given tables only
	 */
	public TableFeed feed() {
		return this.feed;
	}

	/**
	 * Returns the handler of requests of other daemons.
	 * @return the handler for a server at the address for states
	 */
	public Consumer<CallerExchange> endpoint() {
		return this.endpoint;
	}

	/**
	 * Returns the pace for the watcher of a table.
	 * @param table name of the table
	 * @param alone pace without delegates
	 * @param bound time within which a daemon must notice a change
	 * @return the pace, which follows the role of this daemon
	 */
	public PollPace pace(String table, PollPace alone, Duration bound) {
		return new DelegatedPollPace(() -> this.feed.reading(table), alone, bound);
	}

}
