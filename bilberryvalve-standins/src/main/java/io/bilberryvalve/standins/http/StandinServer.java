package io.bilberryvalve.standins.http;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.standins.fault.FaultSettings;
import io.bilberryvalve.standins.fault.Faults;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ConnectionContext;
import io.servicetalk.transport.api.DelegatingConnectionAcceptor;

/**
 * HTTP server of a stand-in with fault injection over {@code /admin/faults}.
 */
public final class StandinServer implements AutoCloseable {

	private static final Logger LOGGER = System.getLogger(StandinServer.class.getName());

	private final HttpServerContext context;

	private StandinServer(HttpServerContext context) {
		this.context = context;
	}

	/**
	 * Starts a server.
	 * @param host the IP address to listen on
	 * @param port port to listen on, or 0 for any free port
	 * @param routes routes of the stand-in
	 * @param faults faults in force
	 * @return the running server
	 * @throws IllegalStateException if it cannot listen
	 */
	public static StandinServer start(String host, int port, List<Route> routes, Faults faults) {
		Connections connections = new Connections();
		StandinService service = new StandinService(routes, faults, connections);
		service.add(Route.of(HttpRequestMethod.GET, "/admin/faults", null,
				Handler.direct((call) -> call.json(faults.settings()))));
		service.add(Route.of(HttpRequestMethod.PUT, "/admin/faults", null, Handler.direct((call) -> {
			FaultSettings settings = call.body(FaultSettings.class);
			faults.replace(settings);
			if (settings.silenceExisting()) {
				connections.silenceOpen();
			}
			LogEvent.of("faults-replaced").with("faults", Json.write(settings)).log(LOGGER, Level.INFO);
			return call.json(settings);
		})));
		try {
			HttpServerContext context = HttpServers.forAddress(new InetSocketAddress(host, port))
				.executionStrategy(HttpExecutionStrategies.offloadNone())
				.appendConnectionAcceptorFilter((original) -> new DelegatingConnectionAcceptor(original) {
					@Override
					public Completable accept(ConnectionContext connection) {
						if (faults.refusing()) {
							return Completable.failed(new IllegalStateException("connections are refused"));
						}
						connections.add(connection);
						return delegate().accept(connection);
					}
				})
				.listenStreamingAndAwait(service);
			return new StandinServer(context);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while starting the server", ex);
		}
		catch (Exception ex) {
			throw new IllegalStateException("cannot listen on " + host + ":" + port + "; choose a free port", ex);
		}
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the address
	 */
	public Address address() {
		InetSocketAddress address = (InetSocketAddress) this.context.listenAddress();
		return new Address(address.getAddress().getHostAddress(), address.getPort());
	}

	/**
	 * Waits until the server is closed.
	 */
	public void awaitClose() {
		this.context.awaitShutdown();
	}

	@Override
	public void close() throws Exception {
		this.context.close();
	}

}
