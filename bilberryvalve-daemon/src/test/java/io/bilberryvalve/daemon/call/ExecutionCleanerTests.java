package io.bilberryvalve.daemon.call;

import java.time.Duration;
import java.util.List;

import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.policy.once.ExecutionLimits;
import io.bilberryvalve.policy.once.ExecutionRecord;
import io.bilberryvalve.policy.once.RecordExpiry;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ExecutionCleanerTests {

	// Guards against expired records that are kept forever because of one odd row.
	@Example
	void deletesExpiredRecordsBesideOddRows() {
		ManualClock clock = new ManualClock();
		InMemoryTableService tables = new InMemoryTableService();
		ExecutionRecord record = new ExecutionRecord("d", "t", ExecutionRecord.State.RESERVED, clock.instant(), null);
		put(tables, ExecutionStore.TABLE, "pavio/k1", ExecutionRecordCodec.encode(record));
		put(tables, ExecutionStore.TABLE, "no club", ExecutionRecordCodec.encode(record));
		put(tables, ExecutionStore.TABLE, "pavio/", "[".repeat(5000));
		put(tables, ExecutionStore.INDEX_TABLE, "0", "no club\npavio/\n\npavio/absent");
		put(tables, ExecutionStore.INDEX_TABLE, RecordExpiry.hourPrefix(clock.instant()) + "x-1", "pavio/k1");
		clock.advance(Duration.ofHours(27));
		ExecutionCleaner cleaner = new ExecutionCleaner(tables,
				new RecordExpiry(ExecutionLimits.defaults().recordLifetime()), clock);
		assertThat(cleaner.deleteExpired().toCompletableFuture().join()).isOne();
		assertThat(tables.row(ExecutionStore.TABLE, "pavio/k1")).isNull();
		assertThat(tables.size(ExecutionStore.INDEX_TABLE)).isZero();
	}

	private static void put(InMemoryTableService tables, String table, String key, String value) {
		tables.commit(List.of(new RowOperation.Put(table, key, null, value)));
	}

}
