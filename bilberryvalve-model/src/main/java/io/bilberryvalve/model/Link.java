package io.bilberryvalve.model;

import java.time.Duration;

/**
 * A network link between two data centres, valid in both directions.
 *
 * @param from data centre at one end
 * @param to data centre at the other end; equal to {@code from} for the network within a
 * data centre
 * @param latency one-way latency, not negative
 * @param bytesPerSecond bandwidth available to one transfer, positive
 */
public record Link(DataCentreId from, DataCentreId to, Duration latency, long bytesPerSecond) {

	private static final double NANOS_PER_SECOND = 1e9;

	/**
	 * Checks the link.
	 * @throws IllegalArgumentException if the latency is negative or the bandwidth is not
	 * positive
	 */
	public Link {
		if (latency.isNegative()) {
			throw new IllegalArgumentException("latency of link " + from + "-" + to + " is negative");
		}
		if (bytesPerSecond <= 0) {
			throw new IllegalArgumentException("bandwidth of link " + from + "-" + to + " must be positive");
		}
	}

	/**
	 * Returns the time to transfer a message: the latency plus the size divided by the
	 * bandwidth.
	 * @param bytes size of the message in bytes
	 * @return transfer time in seconds
	 */
	public double transferSeconds(long bytes) {
		return this.latency.toNanos() / NANOS_PER_SECOND + (double) bytes / this.bytesPerSecond;
	}

}
