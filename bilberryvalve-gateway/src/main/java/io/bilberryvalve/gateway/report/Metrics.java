package io.bilberryvalve.gateway.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.function.DoubleSupplier;

import io.bilberryvalve.gateway.route.RequestKind;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Metrics of a gateway. Safe for use by several threads.
 */
public final class Metrics {

	/**
	 * Bounds of the histogram buckets, from a fast plain answer to the longest stream.
	 */
	private static final double[] BUCKET_BOUNDS_SECONDS = { 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 20 };

	private static final double MILLIS_PER_SECOND = 1000;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requests = Counter.builder()
		.name("bilberryvalve_requests_total")
		.help("Ended requests by kind and status; status 0 is a response that was cut or a caller that left")
		.labelNames("kind", "status")
		.register(this.registry);

	private final Counter failedAttempts = Counter.builder()
		.name("bilberryvalve_failed_attempts_total")
		.help("Attempts at runners that failed, by whether they were repeated")
		.labelNames("repeated")
		.register(this.registry);

	private final Counter unanswered = Counter.builder()
		.name("bilberryvalve_unanswered_requests_total")
		.help("Requests that ended without an answer of a runner although they may have run, by what ended them")
		.labelNames("cause")
		.register(this.registry);

	private final Counter runnerCrashes = Counter.builder()
		.name("bilberryvalve_runner_crashes_total")
		.help("Attempts whose runner ended before it had answered the prompt")
		.register(this.registry);

	private final Counter heldRequests = Counter.builder()
		.name("bilberryvalve_held_requests_total")
		.help("Requests that were not sent, or not again, because a part of the prompt crashes runners")
		.register(this.registry);

	private final Counter runnerNotices = Counter.builder()
		.name("bilberryvalve_runner_notices_total")
		.help("Runners that said in a response that they leave, or that they want no requests for some time")
		.labelNames("notice")
		.register(this.registry);

	private final Counter stateDatagrams = Counter.builder()
		.name("bilberryvalve_state_datagrams_total")
		.help("Datagrams exchanged with other daemons by direction and kind")
		.labelNames("direction", "kind")
		.register(this.registry);

	private final Counter rowReads = Counter.builder()
		.name("bilberryvalve_row_reads_total")
		.help("Reads of watched tables, by source (store or delegate) and by whether and why not they were used")
		.labelNames("source", "result")
		.register(this.registry);

	private final Counter refusals = Counter.builder()
		.name("bilberryvalve_wait_refusals_total")
		.help("Requests that got no place at runners, by what decided it")
		.labelNames("cause")
		.register(this.registry);

	private final Histogram duration = histogram("bilberryvalve_request_seconds",
			"Time from a request to the end of its response");

	private final Histogram firstEvent = histogram("bilberryvalve_first_event_seconds",
			"Time from a request to the first event of its stream");

	private final Histogram wait = histogram("bilberryvalve_wait_seconds",
			"Time from a request to its place at runners");

	private Histogram histogram(String name, String help) {
		return Histogram.builder()
			.name(name)
			.help(help)
			.labelNames("kind")
			.classicOnly()
			.classicUpperBounds(BUCKET_BOUNDS_SECONDS)
			.register(this.registry);
	}

	/**
	 * Adds a gauge.
	 * @param name name of the metric
	 * @param help description of the metric
	 * @param value supplies the value at each scrape
	 */
	public void addGauge(String name, String help, DoubleSupplier value) {
		GaugeWithCallback.builder()
			.name(name)
			.help(help)
			.callback((callback) -> callback.call(value.getAsDouble()))
			.register(this.registry);
	}

	/**
	 * Records the end of a request.
	 * @param kind kind of the route
	 * @param status status of the response, 0 if the response was cut off or the caller
	 * left
	 * @param millis time in milliseconds since the arrival of the request
	 */
	public void recordEnd(RequestKind kind, int status, long millis) {
		this.requests.labelValues(kind.name(), Integer.toString(status)).inc();
		this.duration.labelValues(kind.name()).observe(millis / MILLIS_PER_SECOND);
	}

	/**
	 * Records the first event of a stream.
	 * @param millis time in milliseconds since the arrival of the request
	 */
	public void recordFirstEvent(long millis) {
		this.firstEvent.labelValues(RequestKind.STREAMING.name()).observe(millis / MILLIS_PER_SECOND);
	}

	/**
	 * Records that a request got its reservation at runners.
	 * @param kind kind of the route
	 * @param millis time in milliseconds since the arrival of the request
	 */
	public void recordReservation(RequestKind kind, long millis) {
		this.wait.labelValues(kind.name()).observe(millis / MILLIS_PER_SECOND);
	}

	/**
	 * Records a failed attempt at a runner.
	 * @param repeated whether the request is sent again
	 */
	public void recordFailedAttempt(boolean repeated) {
		this.failedAttempts.labelValues(Boolean.toString(repeated)).inc();
	}

	/**
	 * Records a request that ended without an answer of a runner although it may have
	 * run.
	 * @param cause what ended it
	 */
	public void recordUnanswered(UnansweredCause cause) {
		this.unanswered.labelValues(cause.label()).inc();
	}

	/**
	 * Records an attempt whose runner crashed before it had answered.
	 */
	public void recordRunnerCrash() {
		this.runnerCrashes.inc();
	}

	/**
	 * Records a request that is not sent because a part of its prompt crashes runners.
	 */
	public void recordHeld() {
		this.heldRequests.inc();
	}

	/**
	 * Records that a runner said something new about itself in a response.
	 * @param notice {@code leaving} or {@code paused}
	 */
	public void recordRunnerNotice(String notice) {
		this.runnerNotices.labelValues(notice).inc();
	}

	/**
	 * Records datagrams exchanged with other daemons.
	 * @param direction {@code sent} or {@code received}
	 * @param kind kind of their message
	 * @param count number of datagrams
	 */
	public void recordStateDatagrams(String direction, String kind, int count) {
		this.stateDatagrams.labelValues(direction, kind).inc(count);
	}

	/**
	 * Records a read of a watched table.
	 * @param source {@code store} or {@code delegate}
	 * @param result {@code used} or the reason why it was not used
	 */
	public void recordRowsRead(String source, String result) {
		this.rowReads.labelValues(source, result).inc();
	}

	/**
	 * Records a request that got no slots.
	 * @param cause what decided it
	 */
	public void recordRefusal(String cause) {
		this.refusals.labelValues(cause).inc();
	}

	/**
	 * Returns all metrics as text.
	 * @return the metrics in the Prometheus text format
	 */
	public String toPrometheusText() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(out, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toString(StandardCharsets.UTF_8);
	}

}
