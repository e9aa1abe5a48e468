package io.bilberryvalve.daemon.reply;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.daemon.engine.EngineClient;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.Stage;
import io.bilberryvalve.policy.choice.LoadReport;

/**
 * Health of the stages of a chain, found by fetching the load report of each.
 *
 * @param unreachable runners that did not answer, or whose address answered for another
 * runner
 * @param leaving runners that answered and accept no new work
 */
record ChainHealth(Set<RunnerId> unreachable, Set<RunnerId> leaving) {

	/**
	 * Fetches the load report of every stage of a chain.
	 * @param engines client of the engines
	 * @param chain the chain
	 * @return completes when every stage has answered or failed to answer
	 */
	static CompletionStage<ChainHealth> probe(EngineClient engines, Chain chain) {
		List<CompletableFuture<Result<LoadReport>>> answers = new ArrayList<>();
		for (Stage stage : chain.stages()) {
			answers.add(engines.fetchLoad(stage.runner().address()).toCompletableFuture());
		}
		return CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
			.thenApply((done) -> fromReports(chain, answers));
	}

	private static ChainHealth fromReports(Chain chain, List<CompletableFuture<Result<LoadReport>>> answers) {
		Set<RunnerId> unreachable = new HashSet<>();
		Set<RunnerId> leaving = new HashSet<>();
		for (int i = 0; i < answers.size(); i++) {
			RunnerId runner = chain.stages().get(i).runner().id();
			Result<LoadReport> answer = answers.get(i).join();
			if (!(answer instanceof Result.Ok<LoadReport> ok) || !ok.value().runner().equals(runner)) {
				unreachable.add(runner);
			}
			else if (ok.value().state() == LoadReport.State.LEAVING) {
				leaving.add(runner);
			}
		}
		return new ChainHealth(unreachable, leaving);
	}

	boolean healthy() {
		return this.unreachable.isEmpty() && this.leaving.isEmpty();
	}

}
