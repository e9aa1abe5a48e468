package io.bilberryvalve.platform.http;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.VmList;
import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Client of the VM list over HTTP. Safe for use by several threads.
 */
public final class HttpVmList implements VmList {

	private static final Logger LOGGER = System.getLogger(HttpVmList.class.getName());

	// Without these limits of the parser, which are meant for trees, the value of one
	// entry cannot make the list unreadable.
	private static final JsonFactory JSON = JsonFactory.builder()
		.streamReadConstraints(StreamReadConstraints.builder()
			.maxNestingDepth(Integer.MAX_VALUE)
			.maxNumberLength(Integer.MAX_VALUE)
			.build())
		.build();

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
			.thenApply((response) -> ResponseReader.parse(response, HttpVmList::vms));
	}

	private static List<Vm> vms(byte[] bytes) throws IOException {
		try (JsonParser parser = JSON.createParser(bytes)) {
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				throw new IllegalArgumentException("the list of VMs is not a JSON object");
			}
			while (parser.nextToken() == JsonToken.FIELD_NAME) {
				boolean list = parser.currentName().equals("vms");
				if (parser.nextToken() == JsonToken.START_ARRAY && list) {
					return entries(parser);
				}
				parser.skipChildren();
			}
		}
		throw new IllegalArgumentException("the list of VMs has no array 'vms'");
	}

	private static List<Vm> entries(JsonParser parser) throws IOException {
		List<Vm> vms = new ArrayList<>();
		while (parser.nextToken() != JsonToken.END_ARRAY) {
			Map<String, String> fields = texts(parser);
			try {
				vms.add(vm(fields));
			}
			catch (IllegalArgumentException ex) {
				LogEvent.of("vm-entry-unreadable")
					.with("vm", fields.get("vm"))
					.with("error", ex)
					.log(LOGGER, Level.WARNING);
			}
		}
		return vms;
	}

	// Returns the text fields of an entry and skips all other values, however deep.
	private static Map<String, String> texts(JsonParser parser) throws IOException {
		Map<String, String> texts = new HashMap<>();
		if (parser.currentToken() != JsonToken.START_OBJECT) {
			parser.skipChildren();
			return texts;
		}
		while (parser.nextToken() == JsonToken.FIELD_NAME) {
			String name = parser.currentName();
			if (parser.nextToken() == JsonToken.VALUE_STRING) {
				texts.put(name, parser.getText());
			}
			else {
				parser.skipChildren();
			}
		}
		return texts;
	}

	private static Vm vm(Map<String, String> fields) {
		return new Vm(new VmId(text(fields, "vm")), new DataCentreId(text(fields, "dataCentre")),
				Address.parse(text(fields, "address")), Address.parse(text(fields, "peerAddress")),
				"leaving".equals(text(fields, "state")));
	}

	private static String text(Map<String, String> fields, String field) {
		return fields.getOrDefault(field, "");
	}

}
