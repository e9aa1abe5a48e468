package io.bilberryvalve.daemon.share;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Result;

/**
 * Admits every request immediately, without limit.
 */
public final class UnlimitedAdmission implements AdmissionControl {

	@Override
	public CompletionStage<Result<Permit>> admit(AdmissionRequest request) {
		return CompletableFuture.completedFuture(Result.ok((actualCost) -> {
		}));
	}

}
