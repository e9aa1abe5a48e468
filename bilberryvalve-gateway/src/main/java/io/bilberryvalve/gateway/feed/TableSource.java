package io.bilberryvalve.gateway.feed;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.watch.RowMirror;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.wire.proto.RowMessages.RowsReply;
import org.jspecify.annotations.Nullable;

/**
 * Where this daemon reads a table from: the store or a delegate. Safe for use by several
 * threads.
 */
final class TableSource {

	static final String STORE = "store";

	/** Age of the rows of a delegate from which on they are not used. */
	static final Duration MAX_AGE = Duration.ofSeconds(1);

	/**
	 * Shortest time for which the store is read after the delegates failed. Without it,
	 * each read would make a call to each of them first. The longest time is twice as
	 * long, so that the daemons do not return to a delegate at once.
	 */
	static final Duration MIN_HOLD = Duration.ofSeconds(3);

	/** Interval of direct calls that find out whether the store is reached again. */
	private static final long PROBE_MILLIS = 1000;

	private static final System.Logger LOGGER = System.getLogger(TableSource.class.getName());

	private final String table;

	private final RowMirror mirror;

	private final Clock clock;

	private final Random random;

	private String current = STORE;

	/** Whether the rows are to be compared with all rows of the delegate. */
	private boolean compareNext;

	private long holdUntil;

	private long nextProbe;

	TableSource(String table, RowMirror mirror, Clock clock, Random random) {
		this.table = table;
		this.mirror = mirror;
		this.clock = clock;
		this.random = random;
	}

	String table() {
		return this.table;
	}

	RowMirror mirror() {
		return this.mirror;
	}

	synchronized boolean isStore() {
		return this.current.equals(STORE);
	}

	/**
	 * Returns whether the delegates failed a short while ago.
	 * @return whether the store is to be read without asking them
	 */
	synchronized boolean isHeld() {
		return this.clock.millis() < this.holdUntil;
	}

	/**
	 * Records that the delegates failed.
	 */
	synchronized void hold() {
		long least = MIN_HOLD.toMillis();
		this.holdUntil = this.clock.millis() + least + this.random.nextInt((int) least);
	}

	/**
	 * Records that the store failed, too, so that the next read asks the delegates.
	 */
	synchronized void endHold() {
		this.holdUntil = 0;
	}

	/**
	 * Returns whether it is time for a call that only finds out whether the store is
	 * reached, and counts it.
	 * @return whether to make the call
	 */
	synchronized boolean takeProbe() {
		long now = this.clock.millis();
		if (now < this.nextProbe) {
			return false;
		}
		this.nextProbe = now + PROBE_MILLIS + this.random.nextInt((int) PROBE_MILLIS / 2);
		return true;
	}

	/**
	 * Records where rows came from.
	 * @param source {@link #STORE} or the name of the VM of a delegate
	 * @param reason why they came from there
	 * @param ageMillis age of the rows at the source in milliseconds
	 */
	synchronized void use(String source, String reason, long ageMillis) {
		if (!this.current.equals(source)) {
			LogEvent.of("rows-source-changed")
				.with("table", this.table)
				.with("source", source)
				.with("previous", this.current)
				.with("reason", reason)
				.with("version", this.mirror.version())
				.with("age", ageMillis)
				.log(LOGGER, System.Logger.Level.INFO);
			this.compareNext = this.current.equals(STORE);
			this.current = source;
		}
	}

	/**
	 * Returns whether the next read should ask the delegate for all rows. This is so once
	 * after reading the store: a delegate reports no renewals, so that a state that it
	 * never read, but this daemon did, would stay otherwise.
	 * @return whether to ask for all rows; {@code false} at the next call
	 */
	synchronized boolean takeComparison() {
		boolean compare = this.compareNext && !isStore();
		this.compareNext = false;
		return compare;
	}

	/**
	 * Orders delegates so that the one whose rows were used last is asked first.
	 * @param delegates the delegates
	 * @return the same delegates
	 */
	synchronized List<ReaderRole.Delegate> inOrder(List<ReaderRole.Delegate> delegates) {
		List<ReaderRole.Delegate> ordered = new ArrayList<>(delegates);
		ordered.sort((one, other) -> Boolean.compare(other.vm().equals(this.current), one.vm().equals(this.current)));
		return ordered;
	}

	/**
	 * Returns why a reply cannot be used.
	 * @param reply the reply, or {@code null} if there was none
	 * @param after version up to which the rows are known
	 * @param all whether all rows were asked for
	 * @return the reason, or {@code null} if the reply can be used
	 */
	@Nullable String faultOf(@Nullable RowsReply reply, StoreVersion after, boolean all) {
		if (reply == null) {
			return "no-reply";
		}
		boolean expected = switch (reply.getResult()) {
			case SNAPSHOT -> all;
			case CHANGES, HISTORY_GONE -> !all;
			default -> false;
		};
		if (!expected || reply.getStoreEra() < 0 || reply.getVersion() < 0) {
			return (reply.getResult() == RowsReply.Result.UNAVAILABLE) ? "unavailable" : "unreadable";
		}
		if (reply.getAge() < 0 || reply.getAge() >= MAX_AGE.toMillis()) {
			return "too-old";
		}
		StoreVersion version = RowMessagesCodec.version(reply);
		return (version.isBefore(after) || version.isBefore(this.mirror.version())) ? "behind" : null;
	}

}
