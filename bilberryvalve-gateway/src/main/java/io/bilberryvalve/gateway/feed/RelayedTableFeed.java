package io.bilberryvalve.gateway.feed;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.bilberryvalve.gateway.report.Metrics;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.watch.RowMirror;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.platform.watch.TableFeed;
import io.bilberryvalve.wire.proto.RowMessages.RowsReply;
import org.jspecify.annotations.Nullable;

/**
 * Reads tables from the delegates of the data centre, and from the store if there are
 * none, if this daemon is the first of them, or if they fail. All rows that are read are
 * recorded in the mirrors of the tables.
 */
final class RelayedTableFeed implements TableFeed {

	/** Longest wait of a delegate for a change; a lost delegate is noticed after it. */
	static final Duration MAX_WAIT = Duration.ofSeconds(1);

	/**
	 * Time after the end of a wait at which a delegate without a reply counts as lost.
	 */
	static final Duration REPLY_MARGIN = Duration.ofMillis(500);

	private final TableFeed store;

	private final RowRelay relay;

	private final ReaderRole role;

	private final StoreReach reach;

	private final Metrics metrics;

	private final Clock clock;

	private final Map<String, TableSource> sources = new HashMap<>();

	RelayedTableFeed(TableFeed store, RowRelay relay, ReaderRole role, Map<String, RowMirror> mirrors, StoreReach reach,
			Metrics metrics, Clock clock, Random random) {
		this.store = store;
		this.relay = relay;
		this.role = role;
		this.reach = reach;
		this.metrics = metrics;
		this.clock = clock;
		mirrors.forEach((table, mirror) -> this.sources.put(table, new TableSource(table, mirror, clock, random)));
	}

	private TableSource source(String table) {
		TableSource source = this.sources.get(table);
		if (source == null) {
			throw new IllegalArgumentException("the table '" + table + "' has no mirror");
		}
		return source;
	}

	/**
	 * Returns how this daemon reads a table at present.
	 * @param table name of the table
	 * @return whether it reads the store, and for whom
	 */
	RowReading reading(String table) {
		if (!this.role.delegatesInUse()) {
			return RowReading.ALONE;
		}
		if (mayAskDelegates(source(table))) {
			return RowReading.FROM_DELEGATE;
		}
		return this.role.isDelegate() ? RowReading.FOR_OTHERS : RowReading.ALONE;
	}

	// The first delegate asks the second one only while it does not reach the store.
	private boolean mayAskDelegates(TableSource source) {
		return this.role.delegatesInUse() && !source.isHeld()
				&& (!this.role.isFirstDelegate() || !this.reach.isReached()) && !this.role.others().isEmpty();
	}

	@Override
	public CompletionStage<ReadResult<Snapshot>> snapshot(String table) {
		TableSource source = source(table);
		if (!mayAskDelegates(source)) {
			return snapshotFromStore(source, reasonForStore());
		}
		// Rows of a delegate do not replace the mirror of a daemon that reads the store,
		// since others may ask it.
		boolean recorded = !source.isStore();
		return new Inquiry(source, StoreVersion.NONE, StoreVersion.NONE, Duration.ZERO, recorded).run()
			.thenCompose((outcome) -> {
				if (outcome.reply == null) {
					return snapshotFromStore(source, outcome.fault);
				}
				Snapshot read = RowMessagesCodec.snapshot(table, outcome.reply);
				if (recorded) {
					source.mirror().recordSnapshot(read, false);
				}
				return CompletableFuture.completedFuture(new ReadResult.Found<>(read));
			});
	}

	// A delegate that falls back to the store does not wait for a change, since it can
	// answer others only after its first read.
	@Override
	public CompletionStage<ReadResult<Changes>> changes(String table, StoreVersion after, Duration wait) {
		TableSource source = source(table);
		if (!mayAskDelegates(source)) {
			return changesFromStore(source, after, wait, reasonForStore());
		}
		probe(source, after);
		boolean all = source.takeComparison();
		Duration limited = (wait.compareTo(MAX_WAIT) < 0) ? wait : MAX_WAIT;
		return new Inquiry(source, after, all ? StoreVersion.NONE : after, all ? Duration.ZERO : limited, true).run()
			.thenCompose((outcome) -> (outcome.reply != null)
					? CompletableFuture.completedFuture(toChanges(source, after, outcome.reply))
					: changesFromStore(source, after, this.role.isDelegate() ? Duration.ZERO : wait, outcome.fault));
	}

	// After reading the store, all rows are compared once. A delegate reports no
	// renewals,
	// so that a state which it never read, but this daemon did, would stay otherwise.
	private static ReadResult<Changes> toChanges(TableSource source, StoreVersion after, RowsReply reply) {
		StoreVersion version = RowMessagesCodec.version(reply);
		if (reply.getResult() == RowsReply.Result.SNAPSHOT && version.era() == after.era()) {
			Snapshot read = RowMessagesCodec.snapshot(source.table(), reply);
			Changes changes = new Changes(source.mirror().differencesTo(read), version);
			source.mirror().recordSnapshot(read, false);
			return new ReadResult.Found<>(changes);
		}
		if (reply.getResult() == RowsReply.Result.CHANGES) {
			Changes changes = new Changes(RowMessagesCodec.changes(source.table(), reply), version);
			source.mirror().recordChanges(changes, false);
			return new ReadResult.Found<>(changes);
		}
		return new ReadResult.Missing<>();
	}

	private String reasonForStore() {
		if (!this.role.delegatesInUse()) {
			return "no-delegates-in-use";
		}
		return this.role.isFirstDelegate() ? "first-delegate" : "no-delegate-heard";
	}

	private CompletionStage<ReadResult<Snapshot>> snapshotFromStore(TableSource source, String reason) {
		return recordDirect(source, this.store.snapshot(source.table()), reason,
				(read) -> source.mirror().recordSnapshot(read, true));
	}

	private CompletionStage<ReadResult<Changes>> changesFromStore(TableSource source, StoreVersion after, Duration wait,
			String reason) {
		return recordDirect(source, this.store.changes(source.table(), after, wait), reason,
				(read) -> source.mirror().recordChanges(read, true));
	}

	private <T> CompletionStage<ReadResult<T>> recordDirect(TableSource source, CompletionStage<ReadResult<T>> call,
			String reason, Consumer<T> recording) {
		return call.whenComplete((result, failure) -> {
			boolean answered = StoreReach.isAnswer(result);
			this.reach.record(answered);
			this.metrics.recordRowsRead(TableSource.STORE, answered ? "used" : "failed");
			if (!answered) {
				source.mirror().recordFailure();
				source.endHold();
				return;
			}
			source.use(TableSource.STORE, reason, 0);
			if (result instanceof ReadResult.Found<T> found) {
				recording.accept(found.value());
			}
		});
	}

	// Only direct calls show whether the store is reached, and a daemon that reads from a
	// delegate makes none.
	private void probe(TableSource source, StoreVersion after) {
		if (!this.reach.isReached() && source.takeProbe()) {
			this.store.changes(source.table(), after, Duration.ZERO).whenComplete((result, failure) -> {
				boolean answered = StoreReach.isAnswer(result);
				this.reach.record(answered);
				this.metrics.recordRowsRead(TableSource.STORE, answered ? "probe-answered" : "probe-failed");
			});
		}
	}

	/** A question to the delegates in turn. */
	private final class Inquiry {

		private final TableSource source;

		private final StoreVersion known;

		private final StoreVersion after;

		private final Instant end;

		private final boolean switching;

		private final List<ReaderRole.Delegate> delegates;

		private String fault = "no-delegate-heard";

		Inquiry(TableSource source, StoreVersion known, StoreVersion after, Duration wait, boolean switching) {
			this.source = source;
			this.known = known;
			this.after = after;
			this.end = RelayedTableFeed.this.clock.instant().plus(wait);
			this.switching = switching;
			this.delegates = source.inOrder(RelayedTableFeed.this.role.others());
		}

		CompletionStage<Outcome> run() {
			return ask(0);
		}

		private CompletionStage<Outcome> ask(int index) {
			if (index == this.delegates.size()) {
				this.source.hold();
				return CompletableFuture.completedFuture(new Outcome(null, this.fault));
			}
			ReaderRole.Delegate delegate = this.delegates.get(index);
			Duration rest = Duration.between(RelayedTableFeed.this.clock.instant(), this.end);
			Duration wait = rest.isNegative() ? Duration.ZERO : rest;
			return RelayedTableFeed.this.relay
				.ask(delegate.address(), RowMessagesCodec.request(this.source.table(), this.after, wait),
						wait.plus(REPLY_MARGIN))
				.thenCompose((reply) -> {
					String found = this.source.faultOf(reply, this.known, this.after.equals(StoreVersion.NONE));
					RelayedTableFeed.this.metrics.recordRowsRead("delegate", (found != null) ? found : "used");
					if (reply == null || found != null) {
						this.fault = found;
						return ask(index + 1);
					}
					if (this.switching) {
						this.source.use(delegate.vm(), "delegate-answered", reply.getAge());
					}
					return CompletableFuture.completedFuture(new Outcome(reply, ""));
				});
		}

	}

	/**
	 * Outcome of a question to the delegates.
	 *
	 * @param reply the reply that can be used, or {@code null} if there is none
	 * @param fault why the last one could not be used, or empty
	 */
	private record Outcome(@Nullable RowsReply reply, String fault) {

	}

}
