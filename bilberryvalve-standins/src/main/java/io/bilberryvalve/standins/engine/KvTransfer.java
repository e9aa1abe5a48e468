package io.bilberryvalve.standins.engine;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.standins.fault.Faults;
import io.bilberryvalve.standins.http.Json;
import io.bilberryvalve.standins.http.StandinException;

/**
 * Imports KV data from other engines. The transfer takes time in proportion to the size.
 */
final class KvTransfer {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final double MICROS_PER_SECOND = 1e6;

	private final double rate;

	private final StreamTable streams;

	private final OrderBook orders;

	private final Faults faults;

	private final ScheduledExecutorService scheduler;

	private final ChainClient client = new ChainClient();

	KvTransfer(double rate, StreamTable streams, OrderBook orders, Faults faults, ScheduledExecutorService scheduler) {
		this.rate = rate;
		this.streams = streams;
		this.orders = orders;
		this.faults = faults;
		this.scheduler = scheduler;
	}

	/**
	 * Returns the KV data of a stream.
	 * @param stream the stream
	 * @return the data
	 * @throws StandinException if there is none
	 */
	KvData export(String stream) {
		KvData data = this.streams.find(stream).kv();
		if (data == null) {
			throw StandinException.refused(ProblemKind.NOT_FOUND, "no KV data of stream " + stream,
					"compute it from the prompt and the delivered tokens");
		}
		return data;
	}

	/**
	 * Imports the KV data of a stream.
	 * @param stream the stream
	 * @param pull where from
	 * @return the imported data, after the time of the transfer
	 */
	CompletableFuture<KvData> pull(String stream, KvPull pull) {
		return this.client.get(Address.parse(pull.from()), "/v1/kv/" + stream, TIMEOUT)
			.thenCompose((body) -> transfer(usable(Json.read(body, KvData.class))))
			.thenApply((data) -> {
				this.streams.use(stream).importKv(data, pull.epoch());
				return data;
			});
	}

	private KvData usable(KvData data) {
		Holding held = this.orders.holding();
		if (held == null || !held.model().equals(data.model()) || !held.version().equals(data.version())) {
			throw StandinException.refused(ProblemKind.CONFLICT,
					"this engine holds " + held + ", not " + data.model() + " " + data.version(),
					"plan the chain again");
		}
		int first = Math.max(held.layers().first(), data.first());
		int end = Math.min(held.layers().end(), data.end());
		if (end <= first) {
			throw StandinException.refused(ProblemKind.CONFLICT, "the data is of layers [" + data.first() + ", "
					+ data.end() + "), but this engine holds " + held.layers(), "pull from another engine");
		}
		return data.restrictedTo(new LayerRange(first, end));
	}

	private CompletableFuture<KvData> transfer(KvData data) {
		long micros = (long) (data.layerTokens() / this.rate * MICROS_PER_SECOND);
		CompletableFuture<KvData> done = new CompletableFuture<>();
		this.scheduler.schedule(() -> done.complete(data),
				micros + TimeUnit.MILLISECONDS.toMicros(this.faults.linkDelay().toMillis()), TimeUnit.MICROSECONDS);
		return done;
	}

}
