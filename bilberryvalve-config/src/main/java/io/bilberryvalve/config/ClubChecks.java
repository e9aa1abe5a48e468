package io.bilberryvalve.config;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.CallerId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.TeamId;
import org.jspecify.annotations.Nullable;

/**
 * Checks the part of a club against itself and the part that all clubs share.
 */
final class ClubChecks {

	private final FederationPart federation;

	private final ClubPart part;

	private final KeyOwners owners;

	private final PartReport report;

	private final Set<CallerId> callers;

	private final Coverage coverage;

	private final Set<String> covered = new HashSet<>();

	ClubChecks(FederationPart federation, ClubPart part, KeyOwners owners, Coverage coverage, PartReport report) {
		this.federation = federation;
		this.part = part;
		this.owners = owners;
		this.coverage = coverage;
		this.report = report;
		this.callers = PartReport.keys(part.callers(), ClubPart.Caller::caller);
	}

	void run() {
		share();
		identifiers();
		callers();
		operators();
		pipelines();
		applications();
	}

	private void share() {
		if (this.federation.shares().stream().noneMatch((share) -> share.club().equals(this.part.club()))) {
			this.report.add("part", "club " + this.part.club() + " has no share",
					"add a share for it to the federation part");
		}
	}

	private void identifiers() {
		this.report.unique("teams", this.part.teams(), ClubPart.Team::team);
		this.report.unique("callers", this.part.callers(), ClubPart.Caller::caller);
		this.report.unique("operators", this.part.operators(), ClubPart.Operator::operator);
		this.report.unique("pipelines", this.part.pipelines(), ClubPart.Pipeline::pipeline);
		this.report.unique("applications", this.part.applications(), ClubPart.Application::application);
	}

	private void callers() {
		Set<TeamId> teams = PartReport.keys(this.part.teams(), ClubPart.Team::team);
		for (int i = 0; i < this.part.callers().size(); i++) {
			ClubPart.Caller caller = this.part.callers().get(i);
			String path = PartReport.at("callers", i);
			this.report.exists(path + ".team", caller.team(), teams, "teams");
			this.owners.key(this.report, path, caller.keyDigest(),
					"caller " + caller.caller() + " of club " + this.part.club());
		}
	}

	private void operators() {
		for (int i = 0; i < this.part.operators().size(); i++) {
			ClubPart.Operator operator = this.part.operators().get(i);
			this.owners.key(this.report, PartReport.at("operators", i), operator.keyDigest(),
					"operator " + operator.operator() + " of club " + this.part.club());
		}
	}

	private void pipelines() {
		for (int i = 0; i < this.part.pipelines().size(); i++) {
			ClubPart.Pipeline pipeline = this.part.pipelines().get(i);
			String path = PartReport.at("pipelines", i);
			names(path + ".callers", pipeline.callers());
			Optional<FederationPart.ModelSpec> spec = this.federation.models()
				.stream()
				.filter((model) -> model.model().equals(pipeline.model()))
				.findFirst();
			if (spec.isEmpty()) {
				this.report.add(path + ".model", pipeline.model() + " is not declared",
						"declare it in models of the federation part or use another version");
				continue;
			}
			String adapter = pipeline.adapter();
			if (adapter == null || spec.get().adapters().contains(adapter)) {
				coverage(path, spec.get(), adapter);
			}
			else {
				this.report.add(path + ".adapter", adapter + " is not declared",
						"declare it in adapters of the model in the federation part or use another adapter");
			}
		}
	}

	private void names(String path, List<CallerId> names) {
		this.report.unique(path, names, (name) -> name);
		this.report.exist(path, names, this.callers, "callers");
	}

	private void coverage(String path, FederationPart.ModelSpec spec, @Nullable String adapter) {
		String needed = (adapter != null) ? spec.model() + " with adapter " + adapter : spec.model().toString();
		if (!this.covered.add(needed)) {
			return;
		}
		List<LayerRange> gaps = this.coverage.gaps(spec, adapter);
		if (!gaps.isEmpty()) {
			String layers = String.join(", ", gaps.stream().map(LayerRange::toString).toList());
			this.report.add(path + ".model",
					"no chain of runners covers " + needed + "; no such runner holds layers " + layers,
					"add runners for these layers to the federation part");
		}
	}

	private void applications() {
		Set<ApplicationId> served = PartReport.keys(this.federation.applicationRunners(),
				ApplicationRunner::application);
		for (int i = 0; i < this.part.applications().size(); i++) {
			ClubPart.Application application = this.part.applications().get(i);
			String path = PartReport.at("applications", i);
			names(path + ".callers", application.callers());
			this.report.unique(path + ".operations", application.operations(), ClubPart.Operation::operation);
			this.owners.application(this.report, path, application.application(), this.part.club().value());
			if (!served.contains(application.application())) {
				this.report.add(path, application.application() + " has no runner",
						"add an application runner for it to the federation part");
			}
		}
	}

}
