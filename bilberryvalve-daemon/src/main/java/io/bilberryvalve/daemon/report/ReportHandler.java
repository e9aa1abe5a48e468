package io.bilberryvalve.daemon.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.daemon.http.Access;
import io.bilberryvalve.daemon.http.Exchange;
import io.bilberryvalve.daemon.http.Route;
import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.model.VmId;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Handles the routes for metrics, health, readiness, status and the burn report.
 */
public final class ReportHandler {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final VmId vm;

	private final Lifecycle lifecycle;

	private final Metrics metrics;

	private final BurnRateTracker burnRates;

	private final StatusContributor status;

	private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

	/**
	 * Creates a handler.
	 * @param vm the VM of this entry
	 * @param lifecycle state of this entry and its number of requests in progress
	 * @param metrics metrics for {@code /metrics}
	 * @param burnRates burn rates for {@code /v1/burn}
	 * @param status adds fields to the document of {@code /v1/status}
	 */
	public ReportHandler(VmId vm, Lifecycle lifecycle, Metrics metrics, BurnRateTracker burnRates,
			StatusContributor status) {
		this.vm = vm;
		this.lifecycle = lifecycle;
		this.metrics = metrics;
		this.burnRates = burnRates;
		this.status = status;
	}

	/**
	 * Returns the routes of this handler. A drain does not wait for their requests, and
	 * they remain available while the entry starts or drains.
	 * @return the routes
	 */
	public List<Route> routes() {
		return List.of(Route.of(HttpRequestMethod.GET, "/metrics", Access.PUBLIC, false, this::metrics),
				Route.of(HttpRequestMethod.GET, "/healthz", Access.PUBLIC, false, this::health),
				Route.of(HttpRequestMethod.GET, "/readyz", Access.PUBLIC, false, this::readiness),
				Route.of(HttpRequestMethod.GET, "/v1/status", Access.OPERATOR, false, this::status),
				Route.of(HttpRequestMethod.GET, "/v1/burn", Access.OPERATOR, false, this::burn));
	}

	private Single<StreamingHttpResponse> metrics(Exchange exchange) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try {
			this.writer.write(bytes, this.metrics.registry().scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return respond(exchange, HttpResponseStatus.OK, PrometheusTextFormatWriter.CONTENT_TYPE, bytes.toByteArray());
	}

	private Single<StreamingHttpResponse> health(Exchange exchange) {
		return json(exchange, HttpResponseStatus.OK, JSON.createObjectNode().put("status", "ok"));
	}

	private Single<StreamingHttpResponse> readiness(Exchange exchange) {
		ServingState state = this.lifecycle.state();
		HttpResponseStatus code = (state == ServingState.READY) ? HttpResponseStatus.OK
				: HttpResponseStatus.SERVICE_UNAVAILABLE;
		return json(exchange, code, JSON.createObjectNode().put("status", text(state)));
	}

	private Single<StreamingHttpResponse> status(Exchange exchange) {
		ObjectNode node = JSON.createObjectNode();
		node.put("entry", this.vm.value());
		node.put("state", text(this.lifecycle.state()));
		node.put("requestsInProgress", this.lifecycle.activeRequests());
		this.status.addTo(node);
		return json(exchange, HttpResponseStatus.OK, node);
	}

	private Single<StreamingHttpResponse> burn(Exchange exchange) {
		ObjectNode node = JSON.createObjectNode();
		node.put("entry", this.vm.value());
		ArrayNode rows = node.putArray("rows");
		for (BurnRateRow row : this.burnRates.rows()) {
			ObjectNode item = rows.addObject();
			item.put("club", row.club().value());
			item.put("objective", row.objective().text());
			item.put("target", row.objective().target());
			item.put("windowSeconds", row.window().toSeconds());
			item.put("good", row.good());
			item.put("bad", row.bad());
			item.put("burnRate", row.burnRate());
		}
		return json(exchange, HttpResponseStatus.OK, node);
	}

	private static String text(ServingState state) {
		return state.name().toLowerCase(Locale.ROOT);
	}

	private static Single<StreamingHttpResponse> json(Exchange exchange, HttpResponseStatus code, ObjectNode node) {
		return respond(exchange, code, "application/json", node.toString().getBytes(StandardCharsets.UTF_8));
	}

	private static Single<StreamingHttpResponse> respond(Exchange exchange, HttpResponseStatus code, String type,
			byte[] body) {
		StreamingHttpResponse response = exchange.responses().newResponse(code);
		response.headers().set("content-type", type);
		return Single.succeeded(response.payloadBody(Publisher.from(BufferAllocators.DEFAULT_ALLOCATOR.wrap(body))));
	}

}
