package io.bilberryvalve.standins;

import java.time.Duration;
import java.util.List;

import io.bilberryvalve.model.clock.MonotonicClock;
import io.bilberryvalve.standins.fault.Faults;
import io.bilberryvalve.standins.http.Route;
import io.bilberryvalve.standins.http.StandinServer;
import org.kohsuke.args4j.Option;

/**
 * Options that all stand-ins have.
 */
abstract class ServeOptions implements Runnable {

	@Option(name = "--host", metaVar = "IP", usage = "IP address to listen on")
	private String host = "127.0.0.1";

	@Option(name = "--port", metaVar = "PORT", usage = "port to listen on; 0 chooses a free port")
	private int port;

	private final MonotonicClock clock = new MonotonicClock();

	private final Faults faults = new Faults(this.clock);

	/**
	 * Starts the stand-in and waits until it is closed.
	 */
	@Override
	public void run() {
		StandinServer server = start();
		// A script that starts the process reads the port from this line.
		System.out.println("listening " + server.address());
		server.awaitClose();
	}

	/**
	 * Starts the stand-in.
	 * @return its running server
	 */
	StandinServer start() {
		return StandinServer.start(this.host, this.port, routes(), this.faults);
	}

	/**
	 * Creates the stand-in.
	 * @return its routes
	 */
	abstract List<Route> routes();

	/**
	 * Returns the clock of the process.
	 * @return the clock
	 */
	MonotonicClock clock() {
		return this.clock;
	}

	/**
	 * Returns the faults of the stand-in.
	 * @return the faults
	 */
	Faults faults() {
		return this.faults;
	}

	static Duration millis(long millis) {
		return Duration.ofMillis(millis);
	}

}
