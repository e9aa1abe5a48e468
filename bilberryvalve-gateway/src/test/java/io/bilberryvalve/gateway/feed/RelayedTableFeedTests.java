package io.bilberryvalve.gateway.feed;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.gateway.report.Metrics;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.StoreFailure;
import io.bilberryvalve.platform.watch.RowMirror;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.platform.watch.TableFeed;
import io.bilberryvalve.wire.proto.RowMessages.RowsReply;
import io.bilberryvalve.wire.proto.RowMessages.RowsRequest;
import io.bilberryvalve.wire.proto.RowMessages.TableRow;
import net.jqwik.api.Example;
import org.jspecify.annotations.Nullable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of one {@link RelayedTableFeed} with a scripted store and scripted delegates.
 */
class RelayedTableFeedTests {

	private static final Duration WAIT = Duration.ofMillis(750);

	private static final Duration AFTER_HOLD = TableSource.MIN_HOLD.multipliedBy(2);

	/** Stands for a call without a reply. */
	private static final RowsReply NO_REPLY = RowsReply.newBuilder().setAge(Long.MIN_VALUE).build();

	private final ManualClock clock = new ManualClock();

	private final ScriptedStore store = new ScriptedStore();

	private final ScriptedRelay relay = new ScriptedRelay();

	private final FakeRole role = new FakeRole();

	private final StoreReach reach = new StoreReach();

	private final Metrics metrics = new Metrics();

	private final RowMirror mirror = new RowMirror(this.clock, new SimulatedTimer(), (before, now) -> false);

	private final RelayedTableFeed feed = new RelayedTableFeed(this.store, this.relay, this.role,
			Map.of("t", this.mirror), this.reach, this.metrics, this.clock, new Random(7));

	private static StoreVersion at(long version) {
		return new StoreVersion(1, version);
	}

	private static RowsReply.Builder reply(RowsReply.Result result, long version) {
		return RowsReply.newBuilder().setResult(result).setStoreEra(1).setVersion(version);
	}

	private static RowsReply changes(long version, String value) {
		return reply(RowsReply.Result.CHANGES, version)
			.addRows(TableRow.newBuilder().setKey("k").setVersion(version).setValue(value))
			.build();
	}

	private static RowsReply unavailable() {
		return reply(RowsReply.Result.UNAVAILABLE, 0).build();
	}

	/** Reads the changes and returns the values, or the kind of the result. */
	private String read(StoreVersion after) {
		ReadResult<TableFeed.Changes> result = this.feed.changes("t", after, WAIT).toCompletableFuture().join();
		if (result instanceof ReadResult.Found<TableFeed.Changes> found) {
			return found.value().version() + ""
					+ found.value()
						.changes()
						.stream()
						.map((change) -> change.removed() ? "removed" : change.row().value())
						.toList();
		}
		return result.getClass().getSimpleName();
	}

	/** Makes the feed follow the first delegate at version 5, with the row "one". */
	private void follow() {
		this.relay.replies.add(reply(RowsReply.Result.SNAPSHOT, 5)
			.addRows(TableRow.newBuilder().setKey("k").setVersion(3).setValue("one"))
			.build());
		this.relay.replies.add(changes(6, "two"));
		this.mirror.recordSnapshot(new TableFeed.Snapshot(List.of(new Row("t", "k", 3, "one")), at(4)), true);
		this.relay.replies.addFirst(reply(RowsReply.Result.CHANGES, 4).build());
		assertThat(read(at(4))).isEqualTo("1:4[]");
		assertThat(read(at(4))).isEqualTo("1:5[]");
		assertThat(read(at(5))).isEqualTo("1:6[two]");
		this.relay.asked.clear();
		assertThat(this.store.calls).isEmpty();
	}

	@Example
	void readsFromTheFirstDelegate() {
		follow();
		this.relay.replies.add(changes(7, "three"));
		assertThat(read(at(6))).isEqualTo("1:7[three]");
		assertThat(this.relay.asked).containsExactly("d1 6 wait 750 timeout 1250");
		assertThat(this.store.calls).isEmpty();
		assertThat(this.feed.reading("t")).isEqualTo(RowReading.FROM_DELEGATE);
		assertThat(this.metrics.toPrometheusText())
			.contains("bilberryvalve_row_reads_total{result=\"used\",source=\"delegate\"} 4.0");
	}

	@Example
	void asksTheSecondDelegateAndStaysWithIt() {
		follow();
		this.relay.replies.addAll(List.of(unavailable(), changes(7, "three"), changes(8, "four")));
		assertThat(read(at(6))).isEqualTo("1:7[three]");
		assertThat(read(at(7))).isEqualTo("1:8[four]");
		assertThat(this.relay.asked).containsExactly("d1 6 wait 750 timeout 1250", "d2 6 wait 750 timeout 1250",
				"d2 7 wait 750 timeout 1250");
	}

	// Guards against a wait at each of two delegates that are lost.
	@Example
	void secondDelegateGetsTheRestOfTheWait() {
		follow();
		this.relay.replies.add(null);
		this.relay.delay = Duration.ofMillis(1250);
		this.relay.replies.add(changes(7, "three"));
		assertThat(read(at(6))).isEqualTo("1:7[three]");
		assertThat(this.relay.asked).containsExactly("d1 6 wait 750 timeout 1250", "d2 6 wait 0 timeout 500");
	}

	// Guards against calls to the delegates before each call to the store while they are
	// lost.
	@Example
	void staysWithTheStoreForAWhileAfterBothFailed() {
		follow();
		this.relay.replies.add(null);
		this.relay.replies.add(null);
		assertThat(read(at(6))).isEqualTo("1:6[]");
		this.clock.advance(TableSource.MIN_HOLD.minusMillis(1));
		assertThat(read(at(6))).isEqualTo("1:6[]");
		assertThat(this.relay.asked).hasSize(2);
		assertThat(this.store.calls).hasSize(2);
		assertThat(this.feed.reading("t")).isEqualTo(RowReading.ALONE);
		this.clock.advance(AFTER_HOLD);
		this.relay.replies.add(changes(9, "later"));
		assertThat(read(at(6))).isEqualTo("1:9[later]");
		assertThat(this.store.calls).hasSize(2);
	}

	@Example
	void rowsThatAreTooOldAreNotUsed() {
		follow();
		this.relay.replies.add(changes(7, "old").toBuilder().setAge(1000).build());
		this.relay.replies.add(changes(7, "fresh").toBuilder().setAge(999).build());
		assertThat(read(at(6))).isEqualTo("1:7[fresh]");
	}

	// Guards against rows that go back when the delegate has read less than this daemon.
	@Example
	void rowsBehindTheOwnVersionAreNotUsed() {
		follow();
		this.relay.replies.add(changes(5, "old"));
		this.relay.replies.add(RowsReply.newBuilder().setStoreEra(0).setVersion(99).build());
		assertThat(read(at(6))).isEqualTo("1:6[]");
		assertThat(this.store.calls).hasSize(1);
	}

	@Example
	void unreadableRepliesAreNotUsed() {
		follow();
		this.relay.replies.add(reply(RowsReply.Result.SNAPSHOT, 9).build());
		this.relay.replies.add(changes(7, "odd").toBuilder().setStoreEra(-1).setAge(-5).build());
		assertThat(read(at(6))).isEqualTo("1:6[]");
		assertThat(this.store.calls).hasSize(1);
	}

	// Guards against a daemon that is cut off from the store and does not return to a
	// delegate that answers again.
	@Example
	void asksTheDelegatesAgainAtOnceIfTheStoreFails() {
		follow();
		this.relay.replies.add(unavailable());
		this.relay.replies.add(unavailable());
		this.store.failing = true;
		assertThat(read(at(6))).isEqualTo("Failed");
		assertThat(this.reach.isReached()).isFalse();
		this.relay.replies.add(changes(7, "three"));
		assertThat(read(at(6))).isEqualTo("1:7[three]");
	}

	// Guards against a leader for layer placement that does not reach the store, and
	// against a daemon that never finds out that it reaches the store again.
	@Example
	void rowsOfADelegateDoNotShowThatTheStoreIsReached() {
		follow();
		this.reach.record(false);
		this.store.failing = true;
		this.relay.replies.addAll(List.of(changes(7, "three"), changes(8, "four"), changes(9, "five")));
		read(at(6));
		read(at(7));
		assertThat(this.reach.isReached()).isFalse();
		assertThat(this.store.calls).containsExactly("changes 6 wait 0");
		this.store.failing = false;
		this.clock.advance(Duration.ofSeconds(2));
		read(at(8));
		assertThat(this.reach.isReached()).isTrue();
	}

	@Example
	void laterEraOfADelegateIsTakenOver() {
		follow();
		this.relay.replies.add(reply(RowsReply.Result.HISTORY_GONE, 2).setStoreEra(2).build());
		this.relay.replies.add(reply(RowsReply.Result.SNAPSHOT, 2).setStoreEra(2)
			.addRows(TableRow.newBuilder().setKey("k").setVersion(2).setValue("restored"))
			.build());
		assertThat(read(at(6))).isEqualTo("Missing");
		ReadResult<TableFeed.Snapshot> all = this.feed.snapshot("t").toCompletableFuture().join();
		assertThat(((ReadResult.Found<TableFeed.Snapshot>) all).value().version()).isEqualTo(new StoreVersion(2, 2));
		assertThat(this.mirror.version()).isEqualTo(new StoreVersion(2, 2));
		assertThat(this.store.calls).isEmpty();
	}

	// Guards against a state that this daemon read from the store and keeps, because the
	// delegate never read it and later saw only a renewal.
	@Example
	void comparesAllRowsOnceAfterReadingTheStore() {
		this.mirror.recordSnapshot(
				new TableFeed.Snapshot(List.of(new Row("t", "k", 3, "one"), new Row("t", "gone", 4, "x")), at(4)),
				true);
		this.relay.replies.add(reply(RowsReply.Result.CHANGES, 7).build());
		this.relay.replies.add(reply(RowsReply.Result.SNAPSHOT, 8)
			.addRows(TableRow.newBuilder().setKey("k").setVersion(8).setValue("two"))
			.build());
		this.relay.replies.add(reply(RowsReply.Result.CHANGES, 8).build());
		assertThat(read(at(4))).isEqualTo("1:7[]");
		assertThat(read(at(7))).isEqualTo("1:8[two, removed]");
		assertThat(read(at(8))).isEqualTo("1:8[]");
	}

	@Example
	void refreshAsksADelegateFirst() {
		follow();
		this.relay.replies.add(reply(RowsReply.Result.SNAPSHOT, 7).build());
		assertThat(this.feed.snapshot("t").toCompletableFuture().join()).isInstanceOf(ReadResult.Found.class);
		assertThat(this.store.calls).isEmpty();
		this.relay.replies.add(unavailable());
		this.relay.replies.add(unavailable());
		assertThat(this.feed.snapshot("t").toCompletableFuture().join()).isInstanceOf(ReadResult.Found.class);
		assertThat(this.store.calls).containsExactly("snapshot");
	}

	@Example
	void firstDelegateReadsTheStore() {
		this.role.first = true;
		assertThat(read(at(4))).isEqualTo("1:4[]");
		assertThat(this.store.calls).containsExactly("changes 4 wait 750");
		assertThat(this.relay.asked).isEmpty();
		assertThat(this.feed.reading("t")).isEqualTo(RowReading.FOR_OTHERS);
	}

	// Guards against a first delegate that has no rows although the second one has them.
	@Example
	void firstDelegateThatIsCutOffAsksTheSecond() {
		this.role.first = true;
		this.store.failing = true;
		assertThat(read(at(4))).isEqualTo("Failed");
		this.relay.replies.add(changes(5, "one"));
		assertThat(read(at(4))).isEqualTo("1:5[one]");
		this.store.failing = false;
		this.clock.advance(Duration.ofSeconds(2));
		this.relay.replies.add(reply(RowsReply.Result.SNAPSHOT, 6).build());
		read(at(5));
		assertThat(this.feed.reading("t")).isEqualTo(RowReading.FOR_OTHERS);
	}

	// Guards against any change of small fleets.
	@Example
	void withoutDelegatesTheStoreIsReadAsItIs() {
		this.role.inUse = false;
		this.feed.changes("t", at(4), Duration.ofSeconds(25));
		this.store.failing = true;
		assertThat(read(at(4))).isEqualTo("Failed");
		assertThat(this.feed.snapshot("t").toCompletableFuture().join()).isInstanceOf(ReadResult.Failed.class);
		assertThat(this.store.calls).containsExactly("changes 4 wait 25000", "changes 4 wait 750", "snapshot");
		assertThat(this.relay.asked).isEmpty();
		assertThat(this.feed.reading("t")).isEqualTo(RowReading.ALONE);
	}

	/** Role that the test sets. */
	private static final class FakeRole implements ReaderRole {

		private boolean inUse = true;

		private boolean first;

		@Override
		public boolean delegatesInUse() {
			return this.inUse;
		}

		@Override
		public boolean isDelegate() {
			return this.first;
		}

		@Override
		public boolean isFirstDelegate() {
			return this.first;
		}

		@Override
		public List<Delegate> others() {
			Delegate second = new Delegate("d2", new Address("127.0.0.2", 1));
			return this.first ? List.of(second) : List.of(new Delegate("d1", new Address("127.0.0.1", 1)), second);
		}

	}

	/**
	 * Delegates that answer what the test tells; the next reply is that of the next call.
	 */
	private final class ScriptedRelay implements RowRelay {

		private final Deque<RowsReply> replies = new ArrayDeque<>() {

			@Override
			public boolean add(@Nullable RowsReply reply) {
				return super.add((reply != null) ? reply : NO_REPLY);
			}

		};

		private final List<String> asked = new ArrayList<>();

		/** Time that passes before a call ends without reply. */
		private Duration delay = Duration.ZERO;

		@Override
		public CompletionStage<@Nullable RowsReply> ask(Address delegate, RowsRequest request, Duration timeout) {
			this.asked.add("d" + delegate.host().charAt(8) + " " + request.getVersion() + " wait " + request.getWait()
					+ " timeout " + timeout.toMillis());
			RowsReply reply = this.replies.remove();
			if (reply == NO_REPLY) {
				RelayedTableFeedTests.this.clock.advance(this.delay);
			}
			return CompletableFuture.completedFuture((reply != NO_REPLY) ? reply : null);
		}

	}

	/** Store that has no changes, or fails. */
	private static final class ScriptedStore implements TableFeed {

		private final List<String> calls = new ArrayList<>();

		private boolean failing;

		private <T> CompletionStage<ReadResult<T>> answer(T value) {
			return CompletableFuture.completedFuture(
					this.failing ? new ReadResult.Failed<>(StoreFailure.of(StoreFailure.Kind.OUTAGE, "down"))
							: new ReadResult.Found<>(value));
		}

		@Override
		public CompletionStage<ReadResult<Snapshot>> snapshot(String table) {
			this.calls.add("snapshot");
			return answer(new Snapshot(List.of(), at(20)));
		}

		@Override
		public CompletionStage<ReadResult<Changes>> changes(String table, StoreVersion after, Duration wait) {
			this.calls.add("changes " + after.version() + " wait " + wait.toMillis());
			return answer(new Changes(List.of(), after));
		}

	}

}
