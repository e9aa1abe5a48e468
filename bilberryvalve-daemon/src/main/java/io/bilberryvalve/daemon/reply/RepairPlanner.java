package io.bilberryvalve.daemon.reply;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.daemon.engine.EngineFailure;
import io.bilberryvalve.daemon.engine.EngineFailure.Kind;
import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.KvImport;
import io.bilberryvalve.policy.chain.RepairPlan;
import io.bilberryvalve.policy.chain.Stage;

/**
 * Plans the chain that continues a reply after an attempt failed. Called by tasks of the
 * {@link SerialExecutor} of the reply; the results may arrive on other threads.
 */
final class RepairPlanner {

	private final ReplyServices services;

	private final ReplyRequest request;

	// Runners that failed in this reply. Several threads may write it, but never at the
	// same time, since the repairs of one reply run one after the other.
	private volatile Set<RunnerId> failedRunners = Set.of();

	private volatile boolean secondRound;

	private int repairs;

	private int unexplainedFailures;

	RepairPlanner(ReplyServices services, ReplyRequest request) {
		this.services = services;
		this.request = request;
	}

	/**
	 * Chooses the chain that continues the reply and lets its engines import the KV
	 * caches that are still available.
	 * @param failed attempt that failed
	 * @param failure failure of the attempt
	 * @param epoch epoch of the continuation
	 * @return completes with the chain after the imports, or with a problem whose outcome
	 * the caller has to set
	 */
	CompletionStage<Result<Chain>> plan(Attempt failed, EngineFailure failure, int epoch) {
		if (this.repairs++ >= this.services.settings().maxRepairs() || !this.services.budget().tryAcquire()) {
			return CompletableFuture
				.completedFuture(Result.failed(ReplyProblems.repairBudgetExhausted(Outcome.UNKNOWN)));
		}
		Chain chain = failed.chain();
		RunnerId first = chain.first().runner().id();
		if (failure.kind() == Kind.REFUSED) {
			return chooseChain(chain, epoch, Set.of(first), Set.of());
		}
		if (failure.kind() == Kind.MALFORMED) {
			return chooseChain(chain, epoch, runners(chain), Set.of());
		}
		if (failure.kind() == Kind.REJECTED || failure.kind() == Kind.UNKNOWN_STREAM) {
			return chooseChain(chain, epoch, Set.of(first), Set.of(first));
		}
		boolean explained = failure.runner() != null;
		int occurrence = explained ? 0 : ++this.unexplainedFailures;
		return ChainHealth.probe(this.services.engines(), chain)
			.thenCompose((health) -> planAfterProbe(chain, epoch, failure, health, occurrence));
	}

	private CompletionStage<Result<Chain>> planAfterProbe(Chain chain, int epoch, EngineFailure failure,
			ChainHealth health, int occurrence) {
		Set<RunnerId> excluded = new HashSet<>(health.unreachable());
		excluded.addAll(health.leaving());
		if (failure.runner() != null) {
			excluded.add(failure.runner());
		}
		if (excluded.isEmpty() && occurrence <= 1 && failure.kind() == Kind.SILENT) {
			// All stages answer, so either the connection or the stream within the first
			// engine hangs. In both cases another runner can continue with the KV cache
			// of the first one.
			excluded.add(chain.first().runner().id());
		}
		if (excluded.isEmpty() && occurrence <= 1) {
			// All stages answer on new connections, so only the old connection was lost
			// and the same chain can continue.
			return CompletableFuture.completedFuture(Result.ok(chain));
		}
		Set<RunnerId> alive = new HashSet<>(excluded.isEmpty() ? runners(chain) : excluded);
		alive.removeAll(health.unreachable());
		return chooseChain(chain, epoch, excluded.isEmpty() ? runners(chain) : excluded, alive);
	}

	private CompletionStage<Result<Chain>> chooseChain(Chain old, int epoch, Set<RunnerId> excluded,
			Set<RunnerId> alive) {
		excluded.stream().filter((runner) -> !alive.contains(runner)).forEach(this.services.chains()::recordFailure);
		Set<RunnerId> avoided = new HashSet<>(this.failedRunners);
		avoided.addAll(excluded);
		this.failedRunners = Set.copyOf(avoided);
		Optional<RepairPlan> plan = this.services.chains().repair(this.request.key(), old, avoided, alive);
		if (plan.isEmpty()) {
			// No chain avoids every runner that failed in this reply. Those that failed
			// earlier may work again, unlike those that failed just now.
			plan = this.services.chains().repair(this.request.key(), old, excluded, alive);
		}
		if (plan.isEmpty()) {
			return CompletableFuture.completedFuture(Result.failed(ReplyProblems.noChain(Outcome.UNKNOWN)));
		}
		return importKvCaches(plan.get(), epoch);
	}

	private CompletionStage<Result<Chain>> importKvCaches(RepairPlan plan, int epoch) {
		List<CompletableFuture<Boolean>> pulls = new ArrayList<>();
		for (KvImport pull : plan.imports()) {
			pulls.add(this.services.engines()
				.pullKvCache(pull.target().address(), this.request.id(), pull.source().address(), epoch)
				.toCompletableFuture());
		}
		// A failed import is not an error: the engine then rebuilds the cache from the
		// prompt and the delivered tokens.
		return CompletableFuture.allOf(pulls.toArray(new CompletableFuture<?>[0]))
			.thenApply((done) -> Result.ok(plan.chain()));
	}

	private static Set<RunnerId> runners(Chain chain) {
		Set<RunnerId> runners = new HashSet<>();
		for (Stage stage : chain.stages()) {
			runners.add(stage.runner().id());
		}
		return runners;
	}

}
