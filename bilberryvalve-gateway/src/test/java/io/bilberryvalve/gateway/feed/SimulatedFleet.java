package io.bilberryvalve.gateway.feed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.gateway.report.Metrics;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.watch.PollBudget;
import io.bilberryvalve.platform.watch.RowMirror;
import io.bilberryvalve.platform.watch.SharedPollPace;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.platform.watch.TableFeed;
import io.bilberryvalve.platform.watch.TableWatcher;
import io.bilberryvalve.wire.proto.RowMessages.RowsReply;
import io.bilberryvalve.wire.proto.RowMessages.RowsRequest;
import org.jspecify.annotations.Nullable;

/**
 * Daemons of one data centre on simulated time that watch the tables of a store, which
 * many runners renew. The daemons with the least numbers are the delegates.
 */
final class SimulatedFleet {

	static final String OPERATOR = "op";

	static final String RUNNERS = "servers";

	static final Duration BOUND = Duration.ofSeconds(3);

	private static final int RUNNER_COUNT = 101;

	private static final long HEARTBEAT_MILLIS = 1200;

	/** Time until other daemons no longer count a lost one as present. */
	private static final long ABSENT_MILLIS = 1100;

	private static final long RELAY_LATENCY_MILLIS = 3;

	private final SimulatedTimer timer = new SimulatedTimer();

	private final SimulatedStore store = new SimulatedStore(this.timer);

	private final List<Daemon> daemons = new ArrayList<>();

	private final Random random;

	private final boolean delegatesInUse;

	private int asked;

	SimulatedFleet(int count, boolean delegatesInUse, long seed) {
		this.random = new Random(seed);
		this.delegatesInUse = delegatesInUse;
		this.store.write(OPERATOR, "config", "1/0");
		for (int i = 0; i < RUNNER_COUNT; i++) {
			startRunner("r" + i);
		}
		for (int i = 0; i < count; i++) {
			this.daemons.add(new Daemon(i));
		}
		this.daemons.forEach(Daemon::start);
	}

	private void startRunner(String key) {
		this.store.write(RUNNERS, key, "ready/0");
		this.timer.schedule(() -> renew(key, 1), this.random.nextInt((int) HEARTBEAT_MILLIS), TimeUnit.MILLISECONDS);
	}

	private void renew(String key, long number) {
		this.store.write(RUNNERS, key, "ready/" + number);
		this.timer.schedule(() -> renew(key, number + 1), HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
	}

	SimulatedStore store() {
		return this.store;
	}

	Daemon daemon(int number) {
		return this.daemons.get(number);
	}

	/** Number of requests to delegates. */
	int asked() {
		return this.asked;
	}

	void advance(Duration time) {
		this.timer.advance(time);
	}

	/**
	 * Returns the daemons that run and have not read a row.
	 * @param table name of the table
	 * @param key key of the row
	 * @param state state of the row, without the number of its renewals
	 * @return the numbers of the daemons
	 */
	List<Integer> lacking(String table, String key, String state) {
		return this.daemons.stream()
			.filter((daemon) -> !daemon.lost && !state.equals(daemon.states.get(table + "/" + key)))
			.map((daemon) -> daemon.number)
			.toList();
	}

	private static String state(Row row) {
		return row.value().substring(0, row.value().indexOf('/'));
	}

	/** A daemon with its mirrors, watchers and role. */
	final class Daemon implements ReaderRole, RowRelay {

		private final int number;

		private final Address address;

		private final SimulatedStore.Link link = SimulatedFleet.this.store.new Link();

		private final Map<String, RowMirror> mirrors = new HashMap<>();

		private final Map<String, String> states = new HashMap<>();

		private final StoreReach reach = new StoreReach();

		private final RelayedTableFeed feed;

		private boolean lost;

		private long lostAt;

		Daemon(int number) {
			this.number = number;
			this.address = new Address("127.0.0.1", 1 + number);
			for (String table : List.of(OPERATOR, RUNNERS)) {
				this.mirrors.put(table, new RowMirror(SimulatedFleet.this.timer.clock(), SimulatedFleet.this.timer,
						(before, now) -> state(before).equals(state(now))));
			}
			this.feed = new RelayedTableFeed(this.link, this, this, this.mirrors, this.reach, new Metrics(),
					SimulatedFleet.this.timer.clock(), new Random(number));
		}

		void start() {
			for (String table : List.of(OPERATOR, RUNNERS)) {
				SharedPollPace alone = new SharedPollPace(new PollBudget(2, 200), () -> 101, () -> this.number < 2,
						table.equals(OPERATOR) ? Duration.ofSeconds(8) : Duration.ofMillis(1600),
						table.equals(OPERATOR) ? SharedPollPace.SHORT_DELAY : Duration.ofMillis(2100));
				new TableWatcher(table, this.feed, SimulatedFleet.this.timer,
						new DelegatedPollPace(() -> this.feed.reading(table), alone, BOUND), new Recorder(table))
					.start();
			}
		}

		SimulatedStore.Link link() {
			return this.link;
		}

		boolean reachesStore() {
			return this.reach.isReached();
		}

		/**
		 * Loses the VM silently.
		 */
		void lose() {
			this.lost = true;
			this.lostAt = SimulatedFleet.this.timer.clock().millis();
			this.link.cut();
		}

		private boolean isPresent() {
			return !this.lost || SimulatedFleet.this.timer.clock().millis() < this.lostAt + ABSENT_MILLIS;
		}

		private List<Daemon> delegates() {
			return SimulatedFleet.this.daemons.stream().filter(Daemon::isPresent).limit(2).toList();
		}

		@Override
		public boolean delegatesInUse() {
			return SimulatedFleet.this.delegatesInUse;
		}

		@Override
		public boolean isDelegate() {
			return delegates().contains(this);
		}

		@Override
		public boolean isFirstDelegate() {
			return delegates().get(0) == this;
		}

		@Override
		public List<Delegate> others() {
			return delegates().stream()
				.filter((daemon) -> daemon != this)
				.map((daemon) -> new Delegate("d" + daemon.number, daemon.address))
				.toList();
		}

		@Override
		public CompletionStage<@Nullable RowsReply> ask(Address delegate, RowsRequest request, Duration timeout) {
			SimulatedFleet.this.asked++;
			Daemon asked = SimulatedFleet.this.daemons.get(delegate.port() - 1);
			CompletableFuture<@Nullable RowsReply> result = new CompletableFuture<>();
			later(() -> result.complete(null), timeout.toMillis());
			later(() -> asked.mirrors.get(request.getTable())
				.poll(new StoreVersion(request.getStoreEra(), request.getVersion()),
						Duration.ofMillis(request.getWait()))
				.thenAccept((answer) -> later(() -> {
					if (!asked.lost && !this.lost) {
						result.complete(RowMessagesCodec.encode(answer));
					}
				}, RELAY_LATENCY_MILLIS)), RELAY_LATENCY_MILLIS);
			return result;
		}

		private void later(Runnable task, long millis) {
			SimulatedFleet.this.timer.schedule(task, millis, TimeUnit.MILLISECONDS);
		}

		/** Keeps the states of the rows. */
		private final class Recorder implements TableWatcher.Listener {

			private final String table;

			Recorder(String table) {
				this.table = table;
			}

			private void keep(Row row) {
				Daemon.this.states.put(this.table + "/" + row.key(), state(row));
			}

			@Override
			public void onSnapshot(List<Row> rows, StoreVersion version) {
				rows.forEach(this::keep);
			}

			@Override
			public void onChanges(List<TableFeed.Change> changes, StoreVersion version) {
				changes.forEach((change) -> keep(change.row()));
			}

			@Override
			public void onRefresh(List<Row> rows) {
				rows.forEach(this::keep);
			}

			@Override
			public void onUnavailable() {
			}

			@Override
			public void onAvailable() {
			}

		}

	}

}
