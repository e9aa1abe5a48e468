package io.bilberryvalve.daemon.share;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Result;

/**
 * Admits each request at once.
 */
public final class UnlimitedAdmission implements AdmissionControl {

	@Override
	public CompletionStage<Result<Permit>> admit(AdmissionRequest request) {
		return CompletableFuture.completedFuture(Result.ok((actualCost) -> {
		}));
	}

}
