package io.bilberryvalve.standins.demo;

import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Waits until all servers answer 200.
 */
public final class AwaitCommand implements DemoCommand {

	private static final long INTERVAL_MILLIS = 50;

	private static final long NANOS_PER_MILLI = 1_000_000;

	@Argument(required = true, metaVar = "HOST:PORT", usage = "the servers")
	private List<String> addresses = new ArrayList<>();

	@Option(name = "--path", usage = "path to read")
	private String path = "/readyz";

	@Option(name = "--limit-ms", usage = "longest time to wait in ms")
	private long limitMillis = 30_000;

	@Override
	public boolean run() throws InterruptedException {
		Caller caller = new Caller("");
		long end = System.nanoTime() + this.limitMillis * NANOS_PER_MILLI;
		List<String> missing = new ArrayList<>(this.addresses);
		while (System.nanoTime() < end) {
			for (String address : List.copyOf(missing)) {
				if (caller.answers(address, this.path)) {
					missing.remove(address);
				}
			}
			if (missing.isEmpty()) {
				return true;
			}
			// Another process can only be polled.
			Thread.sleep(INTERVAL_MILLIS);
		}
		System.out.println("no answer with status 200 to " + this.path + " from " + missing);
		return false;
	}

}
