package io.bilberryvalve.standins.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Prints the runners that executed layers for a request, in the order of their layers.
 */
public final class StagesCommand implements DemoCommand {

	@Option(name = "--request", required = true, usage = "the request")
	private String request = "";

	@Argument(required = true, metaVar = "RUNNER=HOST:PORT", usage = "the engines")
	private List<String> engines = new ArrayList<>();

	@Override
	public boolean run() throws IOException, InterruptedException {
		Caller caller = new Caller("");
		List<Found> found = new ArrayList<>();
		for (String engine : this.engines) {
			int separator = engine.indexOf('=');
			JsonNode executions = caller
				.get(engine.substring(separator + 1), "/admin/executions?stream=" + this.request)
				.path("executions");
			if (!executions.isEmpty()) {
				found.add(new Found(executions.get(0).path("first").asInt(), engine.substring(0, separator)));
			}
		}
		found.sort((a, b) -> Integer.compare(a.first(), b.first()));
		found.forEach((stage) -> System.out.println(stage.runner()));
		return !found.isEmpty();
	}

	private record Found(int first, String runner) {

	}

}
