package io.bilberryvalve.platform.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.VmList;
import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Client of the VM list over HTTP. Safe for use by several threads.
 */
public final class HttpVmList implements VmList {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final FailoverHttpClient httpClient;

	/**
	 * Creates the client.
	 * @param httpClient client of the service; the caller closes it
	 */
	public HttpVmList(FailoverHttpClient httpClient) {
		this.httpClient = httpClient;
	}

	@Override
	public CompletionStage<ReadResult<List<Vm>>> read() {
		return this.httpClient.send(HttpRequestMethod.GET, "/v1/vms", null)
			.thenApply((response) -> ResponseReader.parse(response, (bytes) -> vms(JSON.readTree(bytes))));
	}

	private static List<Vm> vms(JsonNode json) {
		List<Vm> vms = new ArrayList<>();
		json.path("vms").forEach((node) -> vms.add(vm(node)));
		return vms;
	}

	private static Vm vm(JsonNode node) {
		return new Vm(new VmId(text(node, "vm")), new DataCentreId(text(node, "dataCentre")),
				Address.parse(text(node, "address")), Address.parse(text(node, "peerAddress")),
				"leaving".equals(text(node, "state")));
	}

	private static String text(JsonNode node, String field) {
		return node.path(field).asText();
	}

}
