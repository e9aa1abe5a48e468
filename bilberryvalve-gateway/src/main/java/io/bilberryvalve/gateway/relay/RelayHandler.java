package io.bilberryvalve.gateway.relay;

import java.util.function.Consumer;

import io.bilberryvalve.gateway.http.CallerExchange;

/**
 * Relays each request of a caller.
 */
public final class RelayHandler implements Consumer<CallerExchange> {

	private final RelayContext context;

	/**
	 * Creates a handler.
	 * @param context what all requests share
	 */
	public RelayHandler(RelayContext context) {
		this.context = context;
	}

	@Override
	public void accept(CallerExchange exchange) {
		new RelayedRequest(this.context, exchange).begin();
	}

}
