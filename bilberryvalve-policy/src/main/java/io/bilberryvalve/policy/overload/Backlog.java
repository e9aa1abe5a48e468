package io.bilberryvalve.policy.overload;

/**
 * Backlog of an event loop, and what to do with the requests behind it. It answers the
 * load of callers who are many times as numerous as usual and all repeat: requests then
 * wait in the socket buffers before the daemon reads them, and reading all of them late
 * serves nobody in time. A single late task, as after a pause of the process, is no
 * backlog, since the loop catches up at once. Safe for use by several threads if one of
 * them records.
 */
public final class Backlog {

	/** Backlog in milliseconds from which new requests are rejected unread. */
	static final long REJECT_MILLIS = 1000;

	/** Backlog in milliseconds from which callers may have left unnoticed. */
	private static final long HIDDEN_DEPARTURE_MILLIS = 250;

	private volatile long last;

	private volatile long millis;

	/**
	 * Records by how much a periodic task of the loop was late.
	 * @param delayMillis the delay in milliseconds; a negative one counts as none
	 */
	public void record(long delayMillis) {
		long delay = Math.max(0, delayMillis);
		this.millis = Math.min(this.last, delay);
		this.last = delay;
	}

	/**
	 * Returns the time that a request waited before it was read.
	 * @return milliseconds, the lesser one of the last two delays
	 */
	public long millis() {
		return this.millis;
	}

	/**
	 * Decides whether to look for the departure of a caller before its request is sent to
	 * a runner.
	 * @return whether a caller may have left long ago
	 */
	public boolean mayHideDepartures() {
		return this.millis >= HIDDEN_DEPARTURE_MILLIS;
	}

	/**
	 * Decides whether a new request is rejected, so that those before it are served in
	 * time.
	 * @return whether the backlog is too long
	 */
	public boolean rejects() {
		return this.millis >= REJECT_MILLIS;
	}

}
