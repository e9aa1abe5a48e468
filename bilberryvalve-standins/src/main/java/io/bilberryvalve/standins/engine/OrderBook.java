package io.bilberryvalve.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.annotation.JsonProperty;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.standins.http.StandinException;
import org.jspecify.annotations.Nullable;

/**
 * Executes orders and knows what the engine has loaded.
 */
final class OrderBook {

	private static final int MAX_ORDERS = 10_000;

	private final boolean checksFencing;

	private final @Nullable String token;

	private final Loader loader;

	private final List<Order> executed = new ArrayList<>();

	private long fencing;

	private @Nullable Holding holding;

	private State state = State.SERVING;

	/**
	 * Creates the book.
	 * @param holding what is loaded at the start, or {@code null} for nothing
	 * @param checksFencing whether an old fencing number is refused
	 * @param token bearer token that orders must carry, or {@code null} for none
	 * @param loader fetches weights
	 */
	OrderBook(@Nullable Holding holding, boolean checksFencing, @Nullable String token, Loader loader) {
		this.holding = holding;
		this.checksFencing = checksFencing;
		this.token = token;
		this.loader = loader;
	}

	/**
	 * Executes an order.
	 * @param authorization the header of this name, or {@code null} if it is absent
	 * @param order the order
	 * @return the state afterwards
	 * @throws StandinException if the token or the fencing number is refused
	 */
	CompletableFuture<Report> execute(@Nullable String authorization, Order order) {
		if (this.token != null && !("Bearer " + this.token).equals(authorization)) {
			throw StandinException.refused(ProblemKind.UNAUTHENTICATED, "the order has no valid bearer token",
					"send the token of the engine");
		}
		synchronized (this) {
			checkFencing(order);
			record(order);
			if (order.action() != Order.Action.LOAD) {
				apply(order);
				return CompletableFuture.completedFuture(report());
			}
			this.state = State.LOADING;
		}
		return this.loader.load(order).handle((none, error) -> loaded(order, error));
	}

	/**
	 * Checks that the engine can serve a stage.
	 * @param request the request
	 * @param layers layers of the stage
	 * @throws StandinException if it does not hold them
	 */
	synchronized void checkServes(StreamRequest request, LayerRange layers) {
		Holding held = this.holding;
		if (held == null || !held.serves(request, layers)) {
			throw StandinException.refused(
					ProblemKind.CONFLICT, "this engine holds " + held + ", not layers " + layers + " of "
							+ request.model() + " " + request.version() + " with adapter " + request.adapter(),
					"plan the chain again");
		}
	}

	synchronized @Nullable Holding holding() {
		return this.holding;
	}

	synchronized State state() {
		return this.state;
	}

	/**
	 * Returns the orders that were executed.
	 * @return the orders in the order of their arrival
	 */
	synchronized List<Order> executed() {
		return List.copyOf(this.executed);
	}

	private void checkFencing(Order order) {
		if (this.checksFencing && order.fencing() < this.fencing) {
			throw StandinException.refused(ProblemKind.CONFLICT,
					"fencing number " + order.fencing() + " is older than " + this.fencing, "give up the lease");
		}
	}

	private void record(Order order) {
		this.fencing = Math.max(this.fencing, order.fencing());
		if (this.executed.size() < MAX_ORDERS) {
			this.executed.add(order);
		}
	}

	private synchronized Report loaded(Order order, @Nullable Throwable error) {
		this.state = State.SERVING;
		if (error != null) {
			throw StandinException.refused(ProblemKind.STORE_UNAVAILABLE,
					"the weights could not be read: " + ChainClient.cause(error).getMessage(),
					"repeat the order later; the engine still holds " + this.holding);
		}
		// A newer order that arrived during the load takes precedence.
		checkFencing(order);
		apply(order);
		return report();
	}

	private void apply(Order order) {
		switch (order.action()) {
			case LOAD -> this.holding = load(order);
			case UNLOAD -> this.holding = unload(order.adapter());
			case DRAIN -> this.state = State.LEAVING;
			case SERVE -> this.state = State.SERVING;
		}
	}

	private @Nullable Holding load(Order order) {
		if (order.model() == null || order.version() == null || order.first() == null || order.end() == null) {
			return this.holding;
		}
		LayerRange layers = new LayerRange(order.first(), order.end());
		Holding held = this.holding;
		boolean same = held != null && held.model().equals(order.model()) && held.version().equals(order.version())
				&& held.layers().equals(layers);
		Set<String> adapters = new HashSet<>((same && held != null) ? held.adapters() : Set.of());
		if (order.adapter() != null) {
			adapters.add(order.adapter());
		}
		return new Holding(order.model(), order.version(), adapters, layers);
	}

	private @Nullable Holding unload(@Nullable String adapter) {
		Holding held = this.holding;
		if (adapter == null || held == null) {
			return null;
		}
		Set<String> adapters = new HashSet<>(held.adapters());
		adapters.remove(adapter);
		return new Holding(held.model(), held.version(), adapters, held.layers());
	}

	private Report report() {
		Holding held = this.holding;
		return (held != null) ? new Report(this.state, this.fencing, held.model(), held.version(),
				held.layers().first(), held.layers().end())
				: new Report(this.state, this.fencing, null, null, null, null);
	}

	/**
	 * Fetches weights.
	 */
	@FunctionalInterface
	interface Loader {

		/**
		 * Fetches the weights of a load order.
		 * @param order the order
		 * @return completed when they are present
		 */
		CompletableFuture<?> load(Order order);

		/**
		 * Creates a loader that reads the weight store and then takes some more time.
		 * @param client reads the store
		 * @param rules rules for orders, with the address of the store
		 * @param delayed executes its tasks after the load time
		 * @return the loader
		 */
		static Loader reading(ChainClient client, EngineSettings.Orders rules, Executor delayed) {
			Duration timeout = Duration.ofSeconds(5);
			return (order) -> {
				CompletableFuture<?> weights = (rules.weightStore() == null) ? CompletableFuture.completedFuture(null)
						: client.get(rules.weightStore(), "/v1/weights/" + order.model() + "/" + order.version(),
								timeout);
				return weights.thenRunAsync(() -> {
				}, delayed);
			};
		}

	}

	/**
	 * States of an engine.
	 */
	public enum State {

		/** It takes new streams. */
		@JsonProperty("serving")
		SERVING,

		/** It loads weights and serves what it holds. */
		@JsonProperty("loading")
		LOADING,

		/** It should get no new streams. */
		@JsonProperty("leaving")
		LEAVING

	}

	/**
	 * The answer to an order.
	 *
	 * @param state state of the engine
	 * @param fencing highest fencing number so far
	 * @param model loaded model, or {@code null} for none
	 * @param version its version, or {@code null}
	 * @param first first layer, inclusive, or {@code null}
	 * @param end last layer, exclusive, or {@code null}
	 */
	public record Report(State state, long fencing, @Nullable String model, @Nullable String version,
			@Nullable Integer first, @Nullable Integer end) {

	}

}
