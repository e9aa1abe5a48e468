package io.bilberryvalve.standins.engine;

import java.time.Clock;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.standins.fault.Faults;
import io.bilberryvalve.standins.http.StandinServer;
import org.jspecify.annotations.Nullable;

/**
 * An engine in the process of the test.
 */
final class TestEngine implements AutoCloseable {

	private final String runner;

	private final LayerRange layers;

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

	private final StandinServer server;

	TestEngine(String runner, int first, int end) {
		this(runner, first, end, true, null);
	}

	TestEngine(String runner, int first, int end, boolean checksFencing, @Nullable String token) {
		this.runner = runner;
		this.layers = new LayerRange(first, end);
		Clock clock = Clock.systemUTC();
		Faults faults = new Faults(clock);
		EngineStandin engine = new EngineStandin(settings(checksFencing, token), clock, faults, this.scheduler,
				this::halt);
		this.server = StandinServer.start("127.0.0.1", 0, engine.routes(), faults);
	}

	Address address() {
		return this.server.address();
	}

	String stage() {
		return "{\"runner\":\"" + this.runner + "\",\"address\":\"" + address() + "\",\"first\":" + this.layers.first()
				+ ",\"end\":" + this.layers.end() + "}";
	}

	private void halt() {
		try {
			this.server.close();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
		throw new IllegalStateException("halted");
	}

	private EngineSettings settings(boolean checksFencing, @Nullable String token) {
		return new EngineSettings(new RunnerId(this.runner), new Holding("m", "1", Set.of(), this.layers),
				new EngineSettings.Batch(new Speed(100_000, 1_000_000), 8, false),
				new EngineSettings.Cache(4, Duration.ZERO, 0),
				new EngineSettings.Orders(checksFencing, token, null, Duration.ZERO),
				new EngineSettings.Timing(Duration.ZERO, Duration.ofSeconds(60), Duration.ofMillis(100),
						Duration.ofMillis(500), 1_000_000));
	}

	@Override
	public void close() throws Exception {
		this.scheduler.shutdownNow();
		this.server.close();
	}

}
