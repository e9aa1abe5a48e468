package io.bilberryvalve.gateway.relay;

import java.util.function.Consumer;

import io.bilberryvalve.gateway.http.CallerExchange;

/**
 * Accepts requests from the caller connections and starts a {@link RelayedRequest} for
 * each.
 */
public final class RelayHandler implements Consumer<CallerExchange> {

	private final RelayContext context;

	/**
	 * Creates a handler.
	 * @param context state shared by all requests
	 */
	public RelayHandler(RelayContext context) {
		this.context = context;
	}

	@Override
	public void accept(CallerExchange exchange) {
		new RelayedRequest(this.context, exchange).begin();
	}

}
