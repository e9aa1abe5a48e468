package io.bilberryvalve.gateway.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;

import io.bilberryvalve.gateway.peer.ReceivedDigest.Width;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.platform.watch.StoreVersion;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class DigestTableTests {

	private static final DataCentreId HERE = new DataCentreId("a");

	private static final DataCentreId THERE = new DataCentreId("b");

	private final DigestTable table = new DigestTable();

	private static ReceivedDigest whole(String vm, long sequence, long at, Set<String> contained) {
		return new ReceivedDigest(vm, 1, sequence, HERE, false, Map.of(), contained, Set.of(THERE), Set.of(), Set.of(),
				1, StoreVersion.NONE, at);
	}

	private static ReceivedDigest single(String vm, long sequence, long at) {
		return new ReceivedDigest(vm, 1, sequence, THERE, true, Map.of(), Set.of(vm), Set.of(), Set.of(), Set.of(), 1,
				StoreVersion.NONE, at);
	}

	private static List<String> names(List<ReceivedDigest> digests) {
		return digests.stream().map(ReceivedDigest::vm).toList();
	}

	// Guards against load that vanishes while a new delegate knows few daemons.
	@Example
	void digestWithMoreDaemonsIsPreferredWhileItIsFresh() {
		this.table.add(whole("old", 1, 0, Set.of("x", "y", "z")));
		this.table.add(whole("new", 1, 300, Set.of("x")));
		assertThat(this.table.whole(600)).map(ReceivedDigest::vm).contains("old");
		assertThat(this.table.whole(601)).map(ReceivedDigest::vm).contains("new");
	}

	@Example
	void digestNoLongerCountsAfterItsLifetime() {
		this.table.add(whole("d", 1, 0, Set.of("x")));
		assertThat(this.table.whole(2500)).isPresent();
		assertThat(this.table.whole(2501)).isEmpty();
	}

	// Guards against usage that a datagram brings back which was held up.
	@Example
	void lateDigestDoesNotReplaceALaterOne() {
		assertThat(this.table.add(whole("d", 5, 0, Set.of("x")))).isTrue();
		assertThat(this.table.add(whole("d", 4, 10, Set.of("x", "y")))).isFalse();
		assertThat(this.table.add(whole("d", 5, 10, Set.of("x", "y")))).isFalse();
	}

	// Guards against a data centre that counts once in each of two digests.
	@Example
	void dataCentreCountsInOneDigest() {
		this.table.add(single("b1", 1, 0));
		this.table.add(single("b2", 1, 100));
		this.table.add(whole("a1", 1, 100, Set.of("a1", "a2")));
		assertThat(names(this.table.select(false, new Width(1, 1), 200))).containsExactly("a1");
		assertThat(names(this.table.select(true, new Width(1, 2), 200))).containsExactly("b2");
	}

	// Guards against a new delegate that counts only the few states that it has received.
	@Example
	void delegateThatKnowsLessThanADigestUsesTheDigest() {
		this.table.add(single("b1", 1, 100));
		this.table.add(whole("a1", 1, 100, Set.of("a1", "a2", "a3")));
		assertThat(names(this.table.select(true, new Width(1, 2), 200))).containsExactly("a1");
		assertThat(names(this.table.select(true, new Width(1, 2), 800))).containsExactly("b1");
	}

}
