package io.bilberryvalve.gateway.relay;

import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.http.UpstreamCall;
import io.bilberryvalve.gateway.http.UpstreamListener;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.RunnerId;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.jspecify.annotations.Nullable;

/**
 * One attempt of a request at the runners of a reservation. It ends exactly once, in one
 * of the ways that its {@link Listener} distinguishes or by {@link #cancel}, and then
 * releases its reservation. All state is confined to the event loop of the caller's
 * connection, except where noted.
 */
final class RunnerAttempt implements UpstreamListener, AttemptResponse.Listener, StallDetector.Listener {

	private final RelayContext context;

	private final EventLoop loop;

	private final ReservationQueue queue;

	private final Reservation reservation;

	private final Listener listener;

	private final AttemptResponse response;

	private final StallDetector stallDetector;

	private @Nullable UpstreamCall call;

	private boolean firstEventReceived;

	/** Whether the response states that the runner did not run the request. */
	private boolean notRun;

	private boolean ended;

	/**
	 * Creates an attempt that has not been sent.
	 * @param context state shared by all requests
	 * @param loop event loop of the caller's connection
	 * @param queue queue that granted the reservation
	 * @param reservation runners that the request passes
	 * @param caller response to the caller
	 * @param listener notified of events and of the end of this attempt
	 */
	RunnerAttempt(RelayContext context, EventLoop loop, ReservationQueue queue, Reservation reservation,
			CallerResponse caller, Listener listener) {
		this.context = context;
		this.loop = loop;
		this.queue = queue;
		this.reservation = reservation;
		this.listener = listener;
		this.response = new AttemptResponse(caller, context.headerNames(), context.responseMemory(), this);
		this.stallDetector = new StallDetector(context, loop, this);
	}

	/**
	 * Sends the request.
	 * @param outgoing creates the call with this attempt as its listener
	 */
	void send(CallFactory outgoing) {
		this.stallDetector.recordProgress();
		UpstreamCall next = outgoing.create(this.reservation, this);
		this.call = next;
		this.context.connectionPool(this.loop).send(firstRunner().address(), next);
	}

	Reservation reservation() {
		return this.reservation;
	}

	ListedRunner firstRunner() {
		return this.reservation.firstRunner();
	}

	/**
	 * Returns the status of the response.
	 * @return the status code, or 0 if no head has arrived
	 */
	int status() {
		return this.response.status();
	}

	boolean firstEventReceived() {
		return this.firstEventReceived;
	}

	/**
	 * Tells whether a part of a plain response was sent to the caller, so that no other
	 * attempt can replace it.
	 * @return whether the connection must be closed if this attempt fails
	 */
	boolean committed() {
		return this.response.committed();
	}

	/**
	 * Returns the time since the last progress. Safe for use by any thread.
	 * @return milliseconds
	 */
	long silenceMillis() {
		return this.stallDetector.silenceMillis();
	}

	long longestSilenceMillis() {
		return this.stallDetector.longestSilenceMillis();
	}

	/**
	 * Checks whether the runners are silent for too long.
	 * @param route route of the request
	 */
	void checkStall(Route route) {
		if (!this.ended) {
			this.stallDetector.check(route, this.reservation, this.firstEventReceived,
					this.queue.prefillBacklogMillis(this.reservation));
		}
	}

	/**
	 * Stops counting this attempt as one of the streams of its runners, because a backup
	 * attempt was made. It counts again from its next event on.
	 */
	void stopTracking() {
		this.stallDetector.stopTracking();
	}

	/**
	 * Pauses or resumes reading the response. A pause does not count as silence of the
	 * runners.
	 * @param pause {@code true} to pause, {@code false} to resume
	 */
	void setPaused(boolean pause) {
		if (pause) {
			this.stallDetector.stopTracking();
		}
		else {
			this.stallDetector.recordProgress();
		}
		UpstreamCall current = this.call;
		if (current != null) {
			current.setPaused(pause);
		}
	}

	/**
	 * Cancels the attempt without notifying the listener. Has no effect on an attempt
	 * that has ended.
	 */
	void cancel() {
		UpstreamCall current = this.call;
		if (finish() && current != null) {
			current.cancel();
		}
	}

	private boolean finish() {
		boolean first = !this.ended;
		this.ended = true;
		this.call = null;
		if (first) {
			this.stallDetector.stopTracking();
			this.response.release();
			this.queue.release(this.reservation, this.firstEventReceived);
		}
		return first;
	}

	@Override
	public boolean maySend() {
		return !this.context.runnerPauses().isPaused(firstRunner());
	}

	@Override
	public void onAnyHead(HttpResponse head) {
		this.context.recordNotice(firstRunner(), RunnerNotice.of(head, this.context.headerNames()));
	}

	@Override
	public void onHead(HttpResponse head) {
		this.stallDetector.recordProgress();
		switch (this.response.head(head, this.listener.isReplaceable(this))) {
			case NOT_RUN -> this.notRun = true;
			case UNUSABLE -> abort("response with status " + head.status().code() + " is not an answer of the runner");
			default -> {
			}
		}
	}

	@Override
	public void onContent(ByteBuf content) {
		if (this.ended) {
			return;
		}
		boolean usable = this.response.content(content);
		if (this.response.isProgressing()) {
			this.stallDetector.recordProgress();
			this.stallDetector.eventReceived();
		}
		ResponseDefect defect = this.response.defect();
		if (usable || defect == null || this.ended) {
			return;
		}
		if (defect.isFailure()) {
			this.context.runnerAvailability().recordFailure(firstRunner().id(), defect.reason());
		}
		if (this.notRun) {
			cancel();
			this.listener.notRun(this, faultyRunner());
		}
		else {
			abort(defect.reason());
		}
	}

	// Ends the attempt because its response is of no use.
	private void abort(String reason) {
		cancel();
		this.listener.unusable(this, reason);
	}

	@Override
	public void onReadComplete() {
		this.response.flush();
	}

	@Override
	public void onEnd() {
		if (this.notRun) {
			finish();
			this.listener.notRun(this, faultyRunner());
		}
		else if (this.response.end()) {
			this.listener.answered(this);
			finish();
		}
		else {
			finish();
			this.listener.brokenOff(this, "no usable answer, status " + status());
		}
	}

	@Override
	public void onConnectionRefused() {
		this.context.runnerAvailability().markLost(firstRunner(), "its address refuses connections");
	}

	@Override
	public void onFailure(boolean sent, String reason) {
		finish();
		if (this.notRun) {
			this.listener.notRun(this, faultyRunner());
			return;
		}
		if (sent || maySend()) {
			this.context.runnerAvailability().recordFailure(firstRunner().id(), reason);
		}
		if (sent) {
			this.listener.brokenOff(this, reason);
		}
		else {
			this.listener.notSent(this, reason);
		}
	}

	// Returns the runner that refused the request. The response may name the address of
	// another runner of the path as the cause.
	private RunnerId faultyRunner() {
		HttpResponse head = this.response.head();
		String address = (head != null) ? head.headers().get(this.context.headerNames().faultyRunner()) : null;
		RunnerId runner = runnerAt(address).orElse(firstRunner().id());
		if (address != null || status() == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
			this.context.runnerAvailability().recordFailure(runner, "refused a request with " + status());
		}
		else {
			this.context.runnerAvailability().refusals().record(runner, status());
		}
		return runner;
	}

	private Optional<RunnerId> runnerAt(@Nullable String address) {
		try {
			return (address != null) ? this.context.fleetRegistry()
				.snapshot()
				.findByAddress(Address.parse(address))
				.map(ListedRunner::id) : Optional.empty();
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	@Override
	public void eventReceived() {
		boolean first = !this.firstEventReceived;
		this.firstEventReceived = true;
		UpstreamCall current = this.call;
		if (current != null) {
			current.countEvent();
		}
		if (this.reservation.path() != null) {
			this.stallDetector.trackStream(this.reservation, first);
		}
		if (first) {
			this.context.loadTracker().recordPrefill(this.reservation.resources(), this.reservation.size());
		}
		this.listener.eventReceived(this, first);
	}

	@Override
	public void selected() {
		this.listener.selected(this);
	}

	@Override
	public boolean runnersSuspected(Reservation checked, Set<RunnerId> suspects, long silenceMillis) {
		return this.ended || this.listener.runnersSuspected(this, suspects, silenceMillis);
	}

	@Override
	public void pathStalled(Reservation checked, Set<RunnerId> causes, long silenceMillis) {
		if (!this.ended) {
			this.listener.stalled(this, causes, silenceMillis);
		}
	}

	/** Creates the call of an attempt. */
	interface CallFactory {

		/**
		 * Creates a call.
		 * @param reservation runners that the request passes
		 * @param upstreamListener receives the response
		 * @return the call, which has not been sent
		 */
		UpstreamCall create(Reservation reservation, UpstreamListener upstreamListener);

	}

	/**
	 * Receives the events and the end of an attempt. When one of the methods
	 * {@link #answered}, {@link #notRun}, {@link #notSent}, {@link #brokenOff} and
	 * {@link #unusable} is called, the attempt has ended.
	 */
	interface Listener {

		/**
		 * Returns whether the answer of another attempt may replace an error of this one.
		 * @param attempt the attempt
		 * @return whether another attempt is in progress or allowed
		 */
		boolean isReplaceable(RunnerAttempt attempt);

		/**
		 * An event has arrived.
		 * @param attempt the attempt
		 * @param first whether it is the first event of this attempt
		 */
		void eventReceived(RunnerAttempt attempt, boolean first);

		/**
		 * A part of the response is about to be sent to the caller, so that the other
		 * attempts in progress are to be cancelled.
		 * @param attempt the attempt
		 */
		void selected(RunnerAttempt attempt);

		/**
		 * The response was complete and was sent to the caller.
		 * @param attempt the attempt
		 */
		void answered(RunnerAttempt attempt);

		/**
		 * The runner stated that it did not run the request.
		 * @param attempt the attempt
		 * @param faulty runner that caused the refusal
		 */
		void notRun(RunnerAttempt attempt, RunnerId faulty);

		/**
		 * The request was not sent, because there is no connection.
		 * @param attempt the attempt
		 * @param reason description of the failure
		 */
		void notSent(RunnerAttempt attempt, String reason);

		/**
		 * The runner ended the response early, or closed the connection. The request may
		 * have run.
		 * @param attempt the attempt
		 * @param reason description of the failure
		 */
		void brokenOff(RunnerAttempt attempt, String reason);

		/**
		 * The response is of no use and was cancelled. The request may have run.
		 * @param attempt the attempt
		 * @param reason description of the failure
		 */
		void unusable(RunnerAttempt attempt, String reason);

		/**
		 * Runners of the attempt are suspected, because all streams that pass them are
		 * silent.
		 * @param attempt the attempt, which stays in progress
		 * @param suspects runners from which no stream has had an event for too long
		 * @param silenceMillis time without progress, in milliseconds
		 * @return whether another attempt was started
		 */
		boolean runnersSuspected(RunnerAttempt attempt, Set<RunnerId> suspects, long silenceMillis);

		/**
		 * The attempt is stalled.
		 * @param attempt the attempt, which stays in progress
		 * @param causes runners that cause the stall
		 * @param silenceMillis time without progress, in milliseconds
		 */
		void stalled(RunnerAttempt attempt, Set<RunnerId> causes, long silenceMillis);

	}

}
