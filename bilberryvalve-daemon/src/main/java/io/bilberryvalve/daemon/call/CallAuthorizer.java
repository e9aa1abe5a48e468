package io.bilberryvalve.daemon.call;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.daemon.http.Principal;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.OperationId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import org.jspecify.annotations.Nullable;

/**
 * Authorizes callers for the operations of the applications that their club configured.
 */
final class CallAuthorizer {

	private final ConfigurationSource configuration;

	CallAuthorizer(ConfigurationSource configuration) {
		this.configuration = configuration;
	}

	Result<Grant> authorize(Principal.Caller caller, String application, String operation) {
		ClubPart.Application found = findApplication(caller, application);
		if (found == null) {
			return Result.failed(Problem.notRun(ProblemKind.NOT_FOUND,
					"club " + caller.club() + " has no application '" + application + "'",
					"use an application from the configuration of the club"));
		}
		if (!found.callers().contains(caller.caller())) {
			return Result.failed(Problem.notRun(ProblemKind.FORBIDDEN,
					"caller " + caller.caller() + " may not use application " + application,
					"ask an operator of the club to add the caller to the application"));
		}
		for (ClubPart.Operation candidate : found.operations()) {
			if (candidate.operation().value().equals(operation)) {
				return Result.ok(new Grant(found.application(), candidate.operation(), candidate.idempotent(),
						isShared(found.application())));
			}
		}
		return Result.failed(Problem.notRun(ProblemKind.NOT_FOUND,
				"application " + application + " has no operation '" + operation + "'",
				"use an operation from the configuration of the club"));
	}

	private ClubPart.@Nullable Application findApplication(Principal.Caller caller, String name) {
		ClubPart part = this.configuration.current().clubs().get(caller.club());
		if (part == null) {
			return null;
		}
		return part.applications()
			.stream()
			.filter((application) -> application.application().value().equals(name))
			.findFirst()
			.orElse(null);
	}

	private boolean isShared(ApplicationId application) {
		return this.configuration.current()
			.clubs()
			.values()
			.stream()
			.filter((club) -> club.applications()
				.stream()
				.anyMatch((candidate) -> candidate.application().equals(application)))
			.count() > 1;
	}

	/**
	 * Permission to call an operation.
	 *
	 * @param application the application
	 * @param operation the operation
	 * @param idempotent whether a call may be executed more than once
	 * @param shared whether more than one club configured the application
	 */
	record Grant(ApplicationId application, OperationId operation, boolean idempotent, boolean shared) {

		// Callers of different clubs may choose the same key. If the clubs share the
		// runners of the application, the club name keeps their keys apart.
		@Nullable String upstreamKey(ClubId club, @Nullable String key) {
			return (this.shared && key != null) ? club + "/" + key : key;
		}

	}

}
