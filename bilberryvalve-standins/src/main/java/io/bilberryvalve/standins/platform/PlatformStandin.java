package io.bilberryvalve.standins.platform;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.standins.fault.Service;
import io.bilberryvalve.standins.http.Call;
import io.bilberryvalve.standins.http.Handler;
import io.bilberryvalve.standins.http.Json;
import io.bilberryvalve.standins.http.Route;
import io.bilberryvalve.standins.http.StandinException;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Stand-in for the platform services. All state is in memory.
 */
public final class PlatformStandin {

	private static final String BYTES = "application/octet-stream";

	private static final long MAX_ROWS = 1000;

	private final TableStore tables = new TableStore();

	private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

	private final VmList vms;

	private final RateLimiter tableWrites;

	private final RateLimiter tableReads;

	private final RateLimiter objectWrites;

	private final RateLimiter objectReads;

	private final RateLimiter weightReads;

	private final RateLimiter vmReads;

	private final byte[] weights;

	/**
	 * Creates the platform.
	 * @param settings its settings
	 * @param clock measures rates and the delay of the VM list
	 */
	public PlatformStandin(PlatformSettings settings, Clock clock) {
		this.vms = new VmList(clock, settings.vmLag(), settings.vms());
		this.tableWrites = new RateLimiter("table writes", settings.writesPerSecond(), clock);
		this.tableReads = new RateLimiter("table reads", settings.readsPerSecond(), clock);
		this.objectWrites = new RateLimiter("object writes", settings.writesPerSecond(), clock);
		this.objectReads = new RateLimiter("object reads", settings.readsPerSecond(), clock);
		this.weightReads = new RateLimiter("weight reads", settings.weightReadsPerSecond(), clock);
		this.vmReads = new RateLimiter("VM list reads", settings.readsPerSecond(), clock);
		this.weights = new byte[settings.weightBytes()];
	}

	/**
	 * Returns the routes of section 4.5 of the design page and, for tests,
	 * {@code PUT|DELETE /admin/vms/{vm}}.
	 * @return the routes
	 */
	public List<Route> routes() {
		return List.of(
				Route.of(HttpRequestMethod.GET, "/v1/tables/{table}/rows/{key*}", Service.TABLES,
						Handler.direct(this::row)),
				Route.of(HttpRequestMethod.GET, "/v1/tables/{table}/rows", Service.TABLES, Handler.direct(this::rows)),
				Route.of(HttpRequestMethod.POST, "/v1/transactions", Service.TABLES, Handler.direct(this::transaction)),
				Route.of(HttpRequestMethod.PUT, "/v1/objects/{key*}", Service.OBJECTS, Handler.direct(this::putObject)),
				Route.of(HttpRequestMethod.GET, "/v1/objects/{key*}", Service.OBJECTS, Handler.direct(this::object)),
				Route.of(HttpRequestMethod.GET, "/v1/weights/{model}/{version}", Service.WEIGHTS,
						Handler.direct(this::weights)),
				Route.of(HttpRequestMethod.GET, "/v1/vms", Service.VMS, Handler.direct(this::vms)),
				Route.of(HttpRequestMethod.PUT, "/admin/vms/{vm}", null, Handler.direct(this::putVm)),
				Route.of(HttpRequestMethod.DELETE, "/admin/vms/{vm}", null, Handler.direct(this::deleteVm)));
	}

	private StreamingHttpResponse row(Call call) {
		this.tableReads.take();
		TableStore.Row row = this.tables.read(call.parameter(0), call.parameter(1));
		if (row == null) {
			throw StandinException.refused(ProblemKind.NOT_FOUND, "no row " + call.parameter(1), "write it first");
		}
		return call.json(row);
	}

	private StreamingHttpResponse rows(Call call) {
		this.tableReads.take();
		String prefix = call.query("prefix");
		long limit = Math.min(MAX_ROWS, call.number("limit", MAX_ROWS));
		return call.json(new Rows(this.tables.list(call.parameter(0), (prefix != null) ? prefix : "", limit)));
	}

	private StreamingHttpResponse transaction(Call call) {
		this.tableWrites.take();
		Transaction.Effect effect = this.tables.execute(call.body(Transaction.class));
		if (effect.conflicts().isEmpty()) {
			return call.json(new Versions(effect.versions()));
		}
		return call.text(HttpResponseStatus.CONFLICT, Call.JSON, Json.write(new Conflicts(effect.conflicts())));
	}

	private StreamingHttpResponse putObject(Call call) {
		this.objectWrites.take();
		this.objects.put(call.parameter(0), call.body());
		return call.bytes(BYTES, new byte[0]);
	}

	private StreamingHttpResponse object(Call call) {
		this.objectReads.take();
		byte[] object = this.objects.get(call.parameter(0));
		if (object == null) {
			throw StandinException.refused(ProblemKind.NOT_FOUND, "no object " + call.parameter(0), "write it first");
		}
		return call.bytes(BYTES, object);
	}

	private StreamingHttpResponse weights(Call call) {
		this.weightReads.take();
		return call.bytes(BYTES, this.weights);
	}

	private StreamingHttpResponse vms(Call call) {
		this.vmReads.take();
		return call.json(new VmEntry.Listing(this.vms.list()));
	}

	private StreamingHttpResponse putVm(Call call) {
		VmEntry entry = call.body(VmEntry.class).named(call.parameter(0));
		this.vms.set(call.parameter(0), entry);
		return call.json(entry);
	}

	private StreamingHttpResponse deleteVm(Call call) {
		this.vms.set(call.parameter(0), null);
		return call.bytes(BYTES, new byte[0]);
	}

	private record Rows(List<TableStore.KeyedRow> rows) {

	}

	private record Versions(List<Long> versions) {

	}

	private record Conflicts(List<Transaction.Conflict> conflicts) {

	}

}
