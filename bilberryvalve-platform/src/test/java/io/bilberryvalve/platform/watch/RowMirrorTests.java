package io.bilberryvalve.platform.watch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.Row;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class RowMirrorTests {

	private static final Duration WAIT = Duration.ofMillis(750);

	private final ManualClock clock = new ManualClock();

	private final ManualScheduler timer = new ManualScheduler();

	/** Rows whose values agree up to the slash renew each other. */
	private final RowMirror mirror = new RowMirror(this.clock, this.timer,
			(before, now) -> state(before).equals(state(now)));

	private static String state(Row row) {
		return row.value().substring(0, row.value().indexOf('/'));
	}

	private static Row row(String key, long version, String value) {
		return new Row("t", key, version, value);
	}

	private static StoreVersion at(long version) {
		return new StoreVersion(1, version);
	}

	private void snapshot(StoreVersion version, Row... rows) {
		this.mirror.recordSnapshot(new TableFeed.Snapshot(List.of(rows), version), true);
	}

	private void write(long version, String key, String value) {
		this.mirror.recordChanges(
				new TableFeed.Changes(List.of(new TableFeed.Change(row(key, version, value), false)), at(version)),
				true);
	}

	private void remove(long version, String key) {
		this.mirror.recordChanges(
				new TableFeed.Changes(List.of(new TableFeed.Change(row(key, version, ""), true)), at(version)), true);
	}

	private RowMirror.Answer now(StoreVersion after) {
		return this.mirror.poll(after, Duration.ZERO).join();
	}

	private static Stream<String> text(RowMirror.Answer answer) {
		return answer.rows()
			.stream()
			.map((change) -> change.row().key() + "=" + (change.removed() ? "removed" : change.row().value()));
	}

	@Example
	void answersAllRowsAndThenTheChanges() {
		snapshot(at(5), row("a", 2, "up/1"), row("b", 3, "up/1"));
		assertThat(now(StoreVersion.NONE).kind()).isEqualTo(RowMirror.Kind.SNAPSHOT);
		assertThat(text(now(StoreVersion.NONE))).containsExactlyInAnyOrder("a=up/1", "b=up/1");
		write(6, "a", "down/2");
		remove(7, "b");
		RowMirror.Answer changes = now(at(5));
		assertThat(text(changes)).containsExactly("a=down/2", "b=removed");
		assertThat(changes.version()).isEqualTo(at(7));
		assertThat(text(now(at(6)))).containsExactly("b=removed");
		assertThat(text(now(StoreVersion.NONE))).containsExactly("a=down/2");
	}

	// Guards against rows that pass through two daemons, and against daemons that ask
	// each other in a circle.
	@Example
	void answersOnlyWhileTheStoreIsRead() {
		assertThat(now(StoreVersion.NONE).kind()).isEqualTo(RowMirror.Kind.UNAVAILABLE);
		snapshot(at(5), row("a", 2, "up/1"));
		this.mirror.recordChanges(new TableFeed.Changes(List.of(), at(6)), false);
		assertThat(now(at(5)).kind()).isEqualTo(RowMirror.Kind.UNAVAILABLE);
		this.mirror.recordChanges(new TableFeed.Changes(List.of(), at(6)), true);
		assertThat(now(at(5)).kind()).isEqualTo(RowMirror.Kind.CHANGES);
	}

	@Example
	void pollWaitsForAChange() {
		snapshot(at(5), row("a", 2, "up/1"));
		CompletableFuture<RowMirror.Answer> poll = this.mirror.poll(at(5), WAIT);
		assertThat(poll).isNotDone();
		write(6, "a", "down/2");
		assertThat(text(poll.join())).containsExactly("a=down/2");
	}

	@Example
	void pollEndsWithoutChangesAfterItsWait() {
		snapshot(at(5), row("a", 2, "up/1"));
		CompletableFuture<RowMirror.Answer> poll = this.mirror.poll(at(5), WAIT);
		this.mirror.recordChanges(new TableFeed.Changes(List.of(), at(9)), true);
		assertThat(poll).isNotDone();
		this.timer.runAvailable();
		assertThat(poll.join().rows()).isEmpty();
		assertThat(poll.join().version()).isEqualTo(at(9));
	}

	// Guards against daemons that learn only at the end of their wait that the delegate
	// has lost the store.
	@Example
	void pollEndsWhenTheStoreIsLost() {
		snapshot(at(5), row("a", 2, "up/1"));
		CompletableFuture<RowMirror.Answer> poll = this.mirror.poll(at(5), WAIT);
		this.mirror.recordFailure();
		assertThat(poll.join().kind()).isEqualTo(RowMirror.Kind.UNAVAILABLE);
	}

	// Guards against an answer that takes a daemon back behind what it has read itself.
	@Example
	void pollWaitsUntilTheMirrorHasReachedItsVersion() {
		snapshot(at(5), row("a", 2, "up/1"));
		CompletableFuture<RowMirror.Answer> poll = this.mirror.poll(at(8), WAIT);
		write(7, "a", "down/2");
		assertThat(poll).isNotDone();
		write(9, "a", "up/3");
		assertThat(text(poll.join())).containsExactly("a=up/3");
	}

	@Example
	void ageCountsFromTheLastAnswerOfTheStore() {
		snapshot(at(5), row("a", 2, "up/1"));
		this.clock.advance(Duration.ofMillis(400));
		this.mirror.recordFailure();
		this.mirror.recordChanges(new TableFeed.Changes(List.of(), at(5)), true);
		this.clock.advance(Duration.ofMillis(300));
		assertThat(now(at(5)).age()).isEqualTo(Duration.ofMillis(300));
	}

	// Guards against heartbeats of all runners that wake all daemons.
	@Example
	void renewalsAreLeftOutButKnown() {
		snapshot(at(5), row("a", 2, "up/1"));
		this.clock.advance(RowMirror.RENEWALS_REPORTED);
		CompletableFuture<RowMirror.Answer> poll = this.mirror.poll(at(5), WAIT);
		write(6, "a", "up/2");
		assertThat(poll).isNotDone();
		this.timer.runAvailable();
		assertThat(poll.join().rows()).isEmpty();
		assertThat(poll.join().version()).isEqualTo(at(6));
		assertThat(text(now(StoreVersion.NONE))).containsExactly("a=up/2");
	}

	// Guards against a runner that stays unconfirmed after its entry came back, because
	// its next heartbeat is not reported.
	@Example
	void renewalsAreReportedAfterAnEntryCameBack() {
		snapshot(at(5), row("a", 2, "up/1"));
		this.clock.advance(RowMirror.RENEWALS_REPORTED);
		remove(6, "a");
		write(7, "a", "up/2");
		this.clock.advance(RowMirror.RENEWALS_REPORTED.minusMillis(1));
		write(8, "a", "up/3");
		assertThat(text(now(at(5)))).containsExactly("a=removed", "a=up/2", "a=up/3");
		this.clock.advance(Duration.ofMillis(1));
		write(9, "a", "up/4");
		assertThat(text(now(at(8)))).isEmpty();
	}

	// Guards against a removal that reaches nobody because it was only visible as the
	// absence of a row.
	@Example
	void laterSnapshotIsReportedAsChanges() {
		snapshot(at(5), row("a", 2, "up/1"), row("b", 3, "up/1"));
		snapshot(at(9), row("a", 8, "down/2"), row("c", 9, "up/1"));
		assertThat(text(now(at(5)))).containsExactlyInAnyOrder("a=down/2", "b=removed", "c=up/1");
	}

	@Example
	void changesOlderThanTheRowsAreIgnored() {
		snapshot(at(5), row("a", 7, "down/2"));
		write(6, "a", "up/1");
		write(4, "b", "up/1");
		assertThat(text(now(StoreVersion.NONE))).containsExactly("a=down/2");
	}

	// Guards against rows of a lost era that stay, and against changes counted across
	// eras.
	@Example
	void laterEraReplacesAllRows() {
		snapshot(at(50), row("a", 40, "up/9"), row("b", 41, "up/9"));
		CompletableFuture<RowMirror.Answer> poll = this.mirror.poll(at(50), WAIT);
		snapshot(new StoreVersion(2, 30), row("a", 20, "up/4"));
		assertThat(poll.join().kind()).isEqualTo(RowMirror.Kind.HISTORY_GONE);
		assertThat(poll.join().version()).isEqualTo(new StoreVersion(2, 30));
		assertThat(text(now(StoreVersion.NONE))).containsExactly("a=up/4");
	}

	// Guards against rows of a lost era that look fresh until the new ones are read.
	@Example
	void answerOfAnotherEraIsNoContact() {
		snapshot(at(5), row("a", 2, "up/1"));
		this.clock.advance(Duration.ofMillis(700));
		this.mirror.recordChanges(new TableFeed.Changes(List.of(), new StoreVersion(2, 3)), true);
		assertThat(now(at(5)).age()).isEqualTo(Duration.ofMillis(700));
		assertThat(now(at(5)).version()).isEqualTo(at(5));
	}

	// Guards against memory that grows with each change, and against silent gaps once
	// changes were dropped.
	@Example
	void droppedChangesAreMissedByNobody() {
		snapshot(at(5));
		LongStream.rangeClosed(6, 6 + RowMirror.MAX_CHANGES).forEach((version) -> write(version, "a", version + "/1"));
		assertThat(now(at(5)).kind()).isEqualTo(RowMirror.Kind.HISTORY_GONE);
		assertThat(now(at(6)).rows()).hasSize(RowMirror.MAX_CHANGES);
	}

}
