package io.bilberryvalve.standins.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Prints how often application runners executed an operation, over all keys.
 */
public final class ExecutionsCommand implements DemoCommand {

	@Argument(required = true, metaVar = "HOST:PORT", usage = "the application runners")
	private List<String> addresses = new ArrayList<>();

	@Option(name = "--operation", required = true, usage = "the operation")
	private String operation = "";

	@Override
	public boolean run() throws IOException, InterruptedException {
		long count = 0;
		for (String address : this.addresses) {
			count += count(address);
		}
		System.out.println(count);
		return true;
	}

	private long count(String address) throws IOException, InterruptedException {
		long count = 0;
		for (JsonNode entry : new Caller("").get(address, "/v1/executions").path("executions")) {
			if (entry.path("operation").asText().equals(this.operation)) {
				count += entry.path("count").asLong();
			}
		}
		return count;
	}

}
