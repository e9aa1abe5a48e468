package io.bilberryvalve.policy.chain;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.Link;

/**
 * Immutable table of transfer times between data centres. A declared link also applies to
 * the opposite direction, unless that direction is declared itself. Data centres without
 * a declared link get a slow default, so that planning prefers declared links; within one
 * data centre the default transfer time is zero.
 */
public final class LinkTable {

	private static final Duration UNDECLARED_LATENCY = Duration.ofMillis(100);

	private static final long UNDECLARED_BYTES_PER_SECOND = 1_000_000;

	private final Map<DataCentrePair, Link> links = new HashMap<>();

	/**
	 * Creates a table.
	 * @param links links declared in the configuration
	 */
	public LinkTable(Collection<Link> links) {
		for (Link link : links) {
			this.links.put(new DataCentrePair(link.from(), link.to()), link);
			this.links.putIfAbsent(new DataCentrePair(link.to(), link.from()), link);
		}
	}

	/**
	 * Returns the time to transfer a message.
	 * @param from data centre of the sender
	 * @param to data centre of the receiver
	 * @param bytes size of the message in bytes
	 * @return transfer time in seconds
	 */
	public double seconds(DataCentreId from, DataCentreId to, long bytes) {
		Link link = this.links.get(new DataCentrePair(from, to));
		if (link != null) {
			return link.transferSeconds(bytes);
		}
		if (from.equals(to)) {
			return 0;
		}
		return new Link(from, to, UNDECLARED_LATENCY, UNDECLARED_BYTES_PER_SECOND).transferSeconds(bytes);
	}

	private record DataCentrePair(DataCentreId from, DataCentreId to) {

	}

}
