package io.bilberryvalve.gateway.relay;

import java.util.HashSet;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Team;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.quarantine.PromptParts;
import io.bilberryvalve.policy.queue.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * Log lines and metrics of one request: what decided about it, and how it ended. Used on
 * the event loop of the caller's connection only.
 */
final class RequestLog {

	private static final System.Logger LOGGER = System.getLogger(RelayedRequest.class.getName());

	private final RelayContext context;

	private final @Nullable String attemptId;

	private final long arrivedAt;

	private final Set<RunnerId> blamed = new HashSet<>();

	private @Nullable Route route;

	private @Nullable Team team;

	private @Nullable Integer queueLength;

	private ReservationRequest.@Nullable Rejection rejection;

	private @Nullable Long retryAfterMillis;

	private @Nullable Long waitMillis;

	private int silentAttempts;

	private @Nullable RunnerAttempt lastSilent;

	/**
	 * Creates the log of a request.
	 * @param context state shared by all requests
	 * @param attemptId identifier of the request, or {@code null} if it has none
	 * @param arrivedAt time of its arrival in milliseconds
	 */
	RequestLog(RelayContext context, @Nullable String attemptId, long arrivedAt) {
		this.context = context;
		this.attemptId = attemptId;
		this.arrivedAt = arrivedAt;
	}

	private long millis() {
		return this.context.clock().millis() - this.arrivedAt;
	}

	void routed(RoutingDecision.Allowed decision) {
		this.route = decision.route();
		this.team = decision.team();
	}

	void sent() {
		this.waitMillis = millis();
	}

	void blamed(Set<RunnerId> runners) {
		this.blamed.addAll(runners);
	}

	/**
	 * Records that the request got no slots.
	 * @param cause what decided about it
	 * @param length number of requests that wait
	 */
	void rejected(ReservationRequest.Rejection cause, int length) {
		this.rejection = cause;
		this.queueLength = length;
		this.context.metrics().recordRefusal(cause.cause().label());
	}

	void retryAfter(long delayMillis) {
		this.retryAfterMillis = delayMillis;
	}

	/**
	 * Logs that the runners of an attempt are silent, once for each attempt.
	 * @param attempt the silent attempt, which stays in progress
	 * @param backup runners of the backup attempt, or {@code null} if it waits for slots
	 * @param silenceMillis time without progress, in milliseconds
	 * @param lastEvent last event that the caller received, or {@code null}
	 */
	void silent(RunnerAttempt attempt, @Nullable Reservation backup, long silenceMillis, @Nullable String lastEvent) {
		if (this.lastSilent == attempt) {
			return;
		}
		this.lastSilent = attempt;
		this.silentAttempts++;
		LogEvent.of("attempt-silent")
			.with("request", this.attemptId)
			.with("runners", attempt.reservation().runnerIds())
			.with("blamed", this.blamed.isEmpty() ? null : this.blamed)
			.with("silent", silenceMillis)
			.with("backup", (backup != null) ? backup.runnerIds() : null)
			.with("last-event", lastEvent)
			.log(LOGGER, System.Logger.Level.INFO);
	}

	void stepFailed(RuntimeException cause) {
		LogEvent.of("request-error")
			.with("request", this.attemptId)
			.with("cause", cause)
			.with("at", (cause.getStackTrace().length > 0) ? cause.getStackTrace()[0] : null)
			.log(LOGGER, System.Logger.Level.ERROR);
	}

	void runnerCrashed(ListedRunner runner, PromptParts prompt) {
		this.context.metrics().recordRunnerCrash();
		LogEvent.of("runner-crashed")
			.with("request", this.attemptId)
			.with("runner", runner.id())
			.with("parts", prompt.shared())
			.log(LOGGER, System.Logger.Level.INFO);
	}

	void attemptFailed(RunnerAttempt attempt, String reason, boolean repeated, int sends, int inProgress,
			@Nullable String lastEvent) {
		this.context.metrics().recordFailedAttempt(repeated);
		LogEvent.of("attempt-failed")
			.with("request", this.attemptId)
			.with("runners", attempt.reservation().runnerIds())
			.with("blamed", this.blamed.isEmpty() ? null : this.blamed)
			.with("fleet-age", this.context.fleetRegistry().ageMillis())
			.with("sends", sends)
			.with("reason", reason)
			.with("repeat", repeated)
			.with("in-progress", (inProgress > 0) ? inProgress : null)
			.with("last-event", lastEvent)
			.log(LOGGER, System.Logger.Level.INFO);
	}

	void ended(int status, String reason, int sends, @Nullable RunnerAttempt last, @Nullable String lastEvent) {
		RouteTable table = this.context.table();
		Refusal refusal = (this.rejection != null) ? this.rejection.refusal() : null;
		Route known = this.route;
		if (known != null) {
			this.context.metrics().recordEnd(known.kind(), status, millis());
		}
		LogEvent.of("request-ended")
			.with("request", this.attemptId)
			.with("route", (known != null) ? known.name() : null)
			.with("team", (this.team != null) ? this.team.name() : null)
			.with("configuration", (table != null) ? table.version() : null)
			.with("status", status)
			.with("reason", reason)
			.with("sends", sends)
			.with("runners", (last != null) ? last.reservation().runnerIds() : null)
			.with("wait", this.waitMillis)
			.with("silent-attempts", (this.silentAttempts > 0) ? this.silentAttempts : null)
			.with("line", this.queueLength)
			.with("refusal", (this.rejection != null) ? this.rejection.cause().label() : null)
			.with("class", (refusal != null) ? refusal.priority() : null)
			.with("cost-ahead", (refusal != null) ? refusal.costAhead() : null)
			.with("cost-per-second", (refusal != null) ? Math.round(refusal.costPerSecond()) : null)
			.with("retry-after", this.retryAfterMillis)
			.with("fleet-age", this.context.fleetRegistry().ageMillis())
			.with("millis", millis())
			.with("longest-pause", (last != null && last.firstEventReceived()) ? last.longestSilenceMillis() : null)
			.with("last-event", lastEvent)
			.log(LOGGER, System.Logger.Level.INFO);
	}

}
