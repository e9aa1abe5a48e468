package io.bilberryvalve.daemon.report;

import java.time.Duration;
import java.util.function.DoubleSupplier;

import io.bilberryvalve.daemon.http.RequestObserver;
import io.bilberryvalve.daemon.http.Route;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Prometheus metrics of the HTTP server.
 */
public final class Metrics implements RequestObserver {

	private static final double NANOS_PER_SECOND = 1e9;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = Counter.builder()
		.name("bilberryvalve_requests_total")
		.help("Responses by route and status.")
		.labelNames("route", "status")
		.register(this.registry);

	private final Histogram seconds = Histogram.builder()
		.name("bilberryvalve_response_head_seconds")
		.help("Time from the head of the request to the head of the response.")
		.labelNames("route")
		.classicOnly()
		.register(this.registry);

	/**
	 * Returns the registry, to which other parts of the daemon add their metrics.
	 * @return the registry
	 */
	public PrometheusRegistry registry() {
		return this.registry;
	}

	/**
	 * Adds a metric whose value is read when the metrics are scraped.
	 * @param name name without the prefix {@code bilberryvalve_}
	 * @param help what it shows, with its unit
	 * @param value gives the value
	 * @return these metrics
	 */
	public Metrics registerGauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name("bilberryvalve_" + name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
		return this;
	}

	@Override
	public void onResponse(Route route, int status, Duration elapsed) {
		String name = "/" + String.join("/", route.pattern());
		this.requests.labelValues(name, Integer.toString(status)).inc();
		this.seconds.labelValues(name).observe(elapsed.toNanos() / NANOS_PER_SECOND);
	}

}
