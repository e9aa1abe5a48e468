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
 * Prometheus metrics of the daemon. Records the requests of the HTTP server; other parts
 * register gauges.
 */
public final class Metrics implements RequestObserver {

	private static final double NANOS_PER_SECOND = 1e9;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = Counter.builder()
		.name("bilberryvalve_requests_total")
		.help("Responses by route and status.")
		.labelNames("route", "status")
		.register(this.registry);

	private final Histogram responseHeadSeconds = Histogram.builder()
		.name("bilberryvalve_response_head_seconds")
		.help("Time from the head of the request to the head of the response.")
		.labelNames("route")
		.classicOnly()
		.register(this.registry);

	/**
	 * Returns the registry that holds all metrics of the daemon. Other parts may register
	 * their own metrics in it.
	 * @return the registry
	 */
	public PrometheusRegistry registry() {
		return this.registry;
	}

	/**
	 * Registers a gauge whose value is read each time the metrics are scraped.
	 * @param name name without the prefix {@code bilberryvalve_}
	 * @param help description for the scraper, with the unit
	 * @param value provides the current value
	 * @return this object
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
		this.responseHeadSeconds.labelValues(name).observe(elapsed.toNanos() / NANOS_PER_SECOND);
	}

}
