package io.bilberryvalve.standins;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.standins.engine.EngineSettings;
import io.bilberryvalve.standins.engine.EngineStandin;
import io.bilberryvalve.standins.engine.Holding;
import io.bilberryvalve.standins.engine.Speed;
import io.bilberryvalve.standins.http.Route;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/**
 * Sub-command that serves an engine.
 */
public final class EngineCommand extends ServeOptions {

	/** Status of a process that was ended by a kill signal. */
	private static final int EXIT_KILLED = 137;

	@Option(name = "--runner", required = true, metaVar = "ID", usage = "the runner")
	private String runner = "";

	@Option(name = "--model", usage = "model that is loaded; nothing is loaded without it")
	private @Nullable String model;

	@Option(name = "--version", usage = "version of the model")
	private String version = "1";

	@Option(name = "--adapter", usage = "loaded adapter; may be repeated")
	private List<String> adapters = new ArrayList<>();

	@Option(name = "--first", usage = "first layer, inclusive")
	private int first;

	@Option(name = "--end", usage = "last layer, exclusive")
	private int end = 16;

	@Option(name = "--decode-rate", usage = "layer-tokens a second in the decode phase, shared by all streams")
	private double decodeRate = 8000;

	@Option(name = "--prefill-rate", usage = "layer-tokens a second in the prefill phase")
	private double prefillRate = 80_000;

	@Option(name = "--max-running", usage = "number of replies that the first runner decodes at the same time")
	private int maxRunning = 64;

	@Option(name = "--ends-early", usage = "end replies before max_tokens")
	private boolean endsEarly;

	@Option(name = "--cache-blocks", usage = "capacity of the prefix cache in blocks of 16 tokens")
	private int cacheBlocks = 256;

	@Option(name = "--cache-lag-ms", usage = "time in ms after which a cache event shows")
	private long cacheLagMillis = 300;

	@Option(name = "--cache-gap", usage = "lose each cache event whose sequence is divisible by this; 0 for none")
	private int cacheGap = 7;

	@Option(name = "--ignore-fencing", usage = "execute orders with an old fencing number")
	private boolean ignoreFencing;

	@Option(name = "--order-token", usage = "bearer token that orders must carry")
	private @Nullable String orderToken;

	@Option(name = "--weights", metaVar = "HOST:PORT", usage = "weight store that load orders read")
	private @Nullable String weights;

	@Option(name = "--load-ms", usage = "time in ms that a load order takes")
	private long loadMillis = 200;

	@Option(name = "--load-lag-ms", usage = "age of load reports in ms")
	private long loadLagMillis = 200;

	@Option(name = "--retention-ms", usage = "time in ms for which an unused stream is kept")
	private long retentionMillis = 60_000;

	@Option(name = "--keep-alive-ms", usage = "time in ms between keep-alive comments")
	private long keepAliveMillis = 200;

	@Option(name = "--step-timeout-ms", usage = "time in ms after which a stage that does not answer has failed")
	private long stepTimeoutMillis = 5000;

	@Option(name = "--kv-rate", usage = "layer-tokens a second that a KV transfer moves")
	private double kvRate = 500_000;

	@Override
	List<Route> routes() {
		ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
		return new EngineStandin(settings(), clock(), faults(), scheduler, () -> Runtime.getRuntime().halt(EXIT_KILLED))
			.routes();
	}

	private EngineSettings settings() {
		Holding holding = (this.model != null) ? new Holding(this.model, this.version, new HashSet<>(this.adapters),
				new LayerRange(this.first, this.end)) : null;
		EngineSettings.Batch batch = new EngineSettings.Batch(new Speed(this.decodeRate, this.prefillRate),
				this.maxRunning, this.endsEarly);
		EngineSettings.Cache cache = new EngineSettings.Cache(this.cacheBlocks, millis(this.cacheLagMillis),
				this.cacheGap);
		EngineSettings.Orders orders = new EngineSettings.Orders(!this.ignoreFencing, this.orderToken,
				(this.weights != null) ? Address.parse(this.weights) : null, millis(this.loadMillis));
		EngineSettings.Timing timing = new EngineSettings.Timing(millis(this.loadLagMillis),
				millis(this.retentionMillis), millis(this.keepAliveMillis), millis(this.stepTimeoutMillis),
				this.kvRate);
		return new EngineSettings(new RunnerId(this.runner), holding, batch, cache, orders, timing);
	}

}
