package io.bilberryvalve.daemon.configuration;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.daemon.lifecycle.Timer;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.policy.rollout.ConfigurationHead;
import io.bilberryvalve.policy.rollout.Submission;
import io.bilberryvalve.policy.rollout.SubmissionStep;

/**
 * Submits new texts for parts of the configuration: checks the resulting configuration,
 * stores the text in the object store and replaces the head row in the table service.
 */
public final class SubmissionService {

	private static final Duration RETRY_DELAY = Duration.ofMillis(100);

	private static final int MAX_DIFFERENCES = 50;

	private final TableService tables;

	private final ConfigurationRollout rollout;

	private final ConfigurationParser parser;

	private final Clock clock;

	private final Timer timer;

	private final Duration timeout;

	/**
	 * Creates the service.
	 * @param tables table service that holds the head row
	 * @param rollout activates accepted configurations
	 * @param parser checks configurations before they are accepted
	 * @param clock monotonic clock
	 * @param timer schedules retries
	 * @param timeout maximum duration of a submission
	 */
	public SubmissionService(TableService tables, ConfigurationRollout rollout, ConfigurationParser parser, Clock clock,
			Timer timer, Duration timeout) {
		this.tables = tables;
		this.rollout = rollout;
		this.parser = parser;
		this.clock = clock;
		this.timer = timer;
		this.timeout = timeout;
	}

	/**
	 * Submits a part.
	 * @param id identifier of the submission, chosen by the operator; a submission
	 * repeated with the same identifier takes effect at most once
	 * @param baseVersion version on which the operator based the change
	 * @param part name of the part
	 * @param document new text of the part
	 * @return the version that the submission created, or a problem
	 */
	public CompletionStage<Result<Long>> submit(String id, long baseVersion, String part, String document) {
		Instant deadline = this.clock.instant().plus(this.timeout);
		Submission submission = new Submission(id, baseVersion, part, PartTextStore.digest(document), this.clock,
				deadline);
		ConfigurationSnapshot current = this.rollout.snapshot();
		Map<String, String> baseTexts = (current.version() == baseVersion) ? current.texts() : Map.of();
		return execute(new PendingSubmission(submission, part, document, baseTexts), submission.start());
	}

	private CompletionStage<Result<Long>> execute(PendingSubmission pending, SubmissionStep step) {
		if (step instanceof SubmissionStep.ReadHead) {
			return this.rollout.readHead().thenCompose((fetched) -> onRead(pending, fetched));
		}
		if (step instanceof SubmissionStep.Write write) {
			return check(pending, write);
		}
		return CompletableFuture.completedFuture((step instanceof SubmissionStep.Conflict conflict)
				? conflictResult(pending, conflict) : toResult(step));
	}

	private CompletionStage<Result<Long>> executeLater(PendingSubmission pending, SubmissionStep step) {
		if (!(step instanceof SubmissionStep.ReadHead)) {
			return execute(pending, step);
		}
		CompletableFuture<Result<Long>> result = new CompletableFuture<>();
		this.timer.schedule(RETRY_DELAY, () -> execute(pending, step).whenComplete((value, error) -> {
			if (error != null) {
				result.completeExceptionally(error);
			}
			else {
				result.complete(value);
			}
		}));
		return result;
	}

	private CompletionStage<Result<Long>> onRead(PendingSubmission pending, ReadResult<Row> fetched) {
		if (fetched instanceof ReadResult.Failed<Row>) {
			return executeLater(pending, pending.submission.headReadFailed());
		}
		if (fetched instanceof ReadResult.Found<Row> found) {
			return onHead(pending, found.value().version(), HeadRow.decode(found.value().value()));
		}
		return execute(pending, pending.submission.headRead(0, null));
	}

	private CompletionStage<Result<Long>> onHead(PendingSubmission pending, long rowVersion, ConfigurationHead head) {
		SubmissionStep step = pending.submission.headRead(rowVersion, head);
		if (step instanceof SubmissionStep.Accepted) {
			this.rollout.texts().add(pending.document);
		}
		return this.rollout.loadAndActivate(head.version(), head.parts()).thenCompose((done) -> execute(pending, step));
	}

	private static Result<Long> abandon(PendingSubmission pending, Problem problem) {
		SubmissionStep step = pending.submission.writeAbandoned();
		return (step instanceof SubmissionStep.Unknown) ? toResult(step) : Result.failed(problem);
	}

	private CompletionStage<Result<Long>> check(PendingSubmission pending, SubmissionStep.Write write) {
		Map<String, String> others = new TreeMap<>(write.head().parts());
		others.remove(pending.part);
		return this.rollout.texts().load(others).thenCompose((texts) -> {
			if (texts.size() != others.size()) {
				return CompletableFuture.completedFuture(abandon(pending, objectStoreDown()));
			}
			Map<String, String> all = new TreeMap<>(texts);
			all.put(pending.part, pending.document);
			if (this.parser.check(write.head().version(), all) instanceof Result.Failed<FederationConfiguration> bad) {
				return CompletableFuture.completedFuture(abandon(pending, bad.problem()));
			}
			return store(pending, write);
		});
	}

	private CompletionStage<Result<Long>> store(PendingSubmission pending, SubmissionStep.Write write) {
		return this.rollout.texts().store(pending.document).thenCompose((stored) -> {
			if (!stored) {
				return CompletableFuture.completedFuture(abandon(pending, objectStoreDown()));
			}
			return this.tables.commit(List.of(HeadRow.put(write.expectVersion(), write.head())))
				.thenCompose((commit) -> onCommit(pending, write, commit));
		});
	}

	private CompletionStage<Result<Long>> onCommit(PendingSubmission pending, SubmissionStep.Write write,
			CommitResult commit) {
		if (commit instanceof CommitResult.Committed) {
			SubmissionStep step = pending.submission.writeCommitted();
			this.rollout.texts().add(pending.document);
			return this.rollout.loadAndActivate(write.head().version(), write.head().parts())
				.thenCompose((done) -> execute(pending, step));
		}
		if (commit instanceof CommitResult.Conflict conflict) {
			CommitResult.ConflictRow row = conflict.rows().get(0);
			return (row.value() != null) ? onHead(pending, row.version(), HeadRow.decode(row.value()))
					: execute(pending, pending.submission.headRead(0, null));
		}
		return executeLater(pending, (commit instanceof CommitResult.Refused) ? pending.submission.writeRefused()
				: pending.submission.writeResultUnknown());
	}

	private Result<Long> conflictResult(PendingSubmission pending, SubmissionStep.Conflict conflict) {
		ConfigurationSnapshot now = this.rollout.snapshot();
		StringBuilder detail = new StringBuilder("version ").append(conflict.version())
			.append(" is in force; changed since the base version: ")
			.append(String.join(", ", conflict.changed()));
		if (!pending.baseTexts.isEmpty() && now.version() == conflict.version()) {
			this.parser.differences(pending.baseTexts, now.texts())
				.stream()
				.limit(MAX_DIFFERENCES)
				.forEach((line) -> detail.append('\n').append(line));
		}
		return Result.failed(Problem.notRun(ProblemKind.CONFLICT, detail.toString(),
				"read the configuration again, apply the change to version " + conflict.version()
						+ " and submit it with a new identifier"));
	}

	private static Result<Long> toResult(SubmissionStep step) {
		if (step instanceof SubmissionStep.Accepted accepted) {
			return Result.ok(accepted.version());
		}
		if (step instanceof SubmissionStep.IdentifierReused reused) {
			return Result.failed(Problem.notRun(ProblemKind.CONFLICT,
					"the identifier belongs to the submission that created version " + reused.version(),
					"submit with a new identifier"));
		}
		if (step instanceof SubmissionStep.NotAccepted) {
			return Result.failed(Problem
				.notRun(ProblemKind.STORE_UNAVAILABLE, "this submission was not accepted: the table service is down",
						"repeat it later with the same identifier")
				.withRetryAfter(Duration.ofSeconds(2)));
		}
		return Result.failed(Problem
			.unknown(ProblemKind.STORE_UNAVAILABLE,
					"the submission may have been accepted; the response of the table service was lost",
					"repeat it with the same identifier; it takes effect at most once")
			.withRetryAfter(Duration.ofSeconds(2)));
	}

	private static Problem objectStoreDown() {
		return Problem
			.notRun(ProblemKind.STORE_UNAVAILABLE, "this submission was not accepted: the object store is down",
					"repeat it later with the same identifier")
			.withRetryAfter(Duration.ofSeconds(2));
	}

	private record PendingSubmission(Submission submission, String part, String document,
			Map<String, String> baseTexts) {

	}

}
