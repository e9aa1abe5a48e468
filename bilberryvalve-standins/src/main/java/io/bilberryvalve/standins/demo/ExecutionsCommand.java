package io.bilberryvalve.standins.demo;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Prints how often an application runner executed an operation, over all keys.
 */
public final class ExecutionsCommand implements DemoCommand {

	@Argument(required = true, metaVar = "HOST:PORT", usage = "the application runner")
	private String address = "";

	@Option(name = "--operation", required = true, usage = "the operation")
	private String operation = "";

	@Override
	public boolean run() throws IOException, InterruptedException {
		long count = 0;
		for (JsonNode entry : new Caller("").get(this.address, "/v1/executions").path("executions")) {
			if (entry.path("operation").asText().equals(this.operation)) {
				count += entry.path("count").asLong();
			}
		}
		System.out.println(count);
		return true;
	}

}
