package io.bilberryvalve.standins.engine;

import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class PrefixCacheTests {

	private final ManualClock clock = new ManualClock();

	// Guards against a cache without a limit, and against events that tell of blocks that
	// are gone.
	@Example
	void removesLeastRecentlyUsedBlocks() {
		CacheEvents events = new CacheEvents(this.clock, Duration.ZERO, 0);
		PrefixCache cache = new PrefixCache(3, events);
		cache.store(request("a", 40));
		cache.store(request("b", 20));
		assertThat(cache.cached(request("a", 100))).isEqualTo(32);
		cache.store(request("c", 16));
		assertThat(cache.cached(request("a", 100))).isEqualTo(32);
		assertThat(cache.cached(request("b", 20))).isZero();
		assertThat(events.after(0).events()).extracting(CacheEvents.Event::action)
			.containsExactly("stored", "stored", "stored", "stored", "removed");
	}

	// Guards against events that a router sees earlier or more completely than those of a
	// real engine.
	@Example
	void eventsShowLateAndWithGaps() {
		CacheEvents events = new CacheEvents(this.clock, Duration.ofMillis(300), 3);
		IntStream.rangeClosed(1, 7).forEach((i) -> events.add("stored", "p" + i));
		this.clock.advance(Duration.ofMillis(299));
		assertThat(events.after(0)).isEqualTo(new CacheEvents.Page(List.of(), 1));
		this.clock.advance(Duration.ofMillis(1));
		CacheEvents.Page page = events.after(1);
		assertThat(page.events()).extracting(CacheEvents.Event::sequence).containsExactly(2L, 4L, 5L, 7L);
		assertThat(page.next()).isEqualTo(8);
	}

	// Guards against a report that is more recent than the configured lag.
	@Example
	void loadReportIsAsOldAsTheLag() {
		long[] queued = { 0 };
		LoadMonitor monitor = new LoadMonitor("r1", this.clock, Duration.ofMillis(200),
				() -> new LoadMonitor.Sample(queued[0], 0, 0, 1, OrderBook.State.SERVING));
		for (int i = 1; i <= 8; i++) {
			this.clock.advance(Duration.ofMillis(50));
			queued[0] = i;
			monitor.sample();
		}
		assertThat(monitor.report().observedAtMillis()).isEqualTo(200);
		assertThat(monitor.report().queuedTokens()).isEqualTo(4);
	}

	private static StreamRequest request(String word, int words) {
		String prompt = IntStream.range(0, words).mapToObj((i) -> word).collect(Collectors.joining(" "));
		return new StreamRequest("s", 1, "pavio", "m", "1", null, prompt, List.of(), 0, 8, 0,
				List.of(new Stage("r1", "127.0.0.1:1", 0, 16)));
	}

}
