package io.bilberryvalve.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.Link;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;

/**
 * Checks the part that all clubs share.
 */
final class FederationChecks {

	private static final double MAX_PERCENT = 100;

	/** Allows for rounding in a sum of decimal fractions. */
	private static final double ROUNDING = 1e-6;

	private final FederationPart part;

	private final PartReport report;

	FederationChecks(FederationPart part, PartReport report) {
		this.part = part;
		this.report = report;
	}

	void run() {
		shares();
		identifiers();
		links();
		runners();
		applicationRunners();
		addresses();
	}

	private void shares() {
		double sum = this.part.shares().stream().mapToDouble(FederationPart.ClubShare::percent).sum();
		if (sum > MAX_PERCENT + ROUNDING) {
			this.report.add("shares", "the shares sum to " + sum + " percent",
					"lower shares until they sum to at most 100");
		}
	}

	private void identifiers() {
		this.report.unique("shares", this.part.shares(), FederationPart.ClubShare::club);
		this.report.unique("dataCentres", this.part.dataCentres(), FederationPart.DataCentre::dataCentre);
		this.report.unique("models", this.part.models(), FederationPart.ModelSpec::model);
		this.report.unique("accelerators", this.part.accelerators(), FederationPart.AcceleratorSpec::kind);
		this.report.unique("links", this.part.links(), (link) -> new TreeSet<>(List.of(link.from(), link.to())));
		this.report.unique("runners", this.part.runners(), Runner::id);
		this.report.unique("applicationRunners", this.part.applicationRunners(), ApplicationRunner::id);
		Set<RunnerId> runners = PartReport.keys(this.part.runners(), Runner::id);
		for (int i = 0; i < this.part.applicationRunners().size(); i++) {
			RunnerId id = this.part.applicationRunners().get(i).id();
			if (runners.contains(id)) {
				this.report.add(PartReport.at("applicationRunners", i), id + " also stands in runners",
						"rename one of them");
			}
		}
	}

	private void links() {
		Set<DataCentreId> centres = dataCentres();
		for (int i = 0; i < this.part.links().size(); i++) {
			Link link = this.part.links().get(i);
			String path = PartReport.at("links", i);
			this.report.exists(path + ".from", link.from(), centres, "dataCentres");
			this.report.exists(path + ".to", link.to(), centres, "dataCentres");
		}
	}

	private void runners() {
		Set<DataCentreId> centres = dataCentres();
		Set<?> kinds = PartReport.keys(this.part.accelerators(), FederationPart.AcceleratorSpec::kind);
		Map<ModelVersion, FederationPart.ModelSpec> models = new HashMap<>();
		this.part.models().forEach((spec) -> models.put(spec.model(), spec));
		for (int i = 0; i < this.part.runners().size(); i++) {
			Runner runner = this.part.runners().get(i);
			String path = PartReport.at("runners", i);
			this.report.exists(path + ".dataCentre", runner.dataCentre(), centres, "dataCentres");
			this.report.exists(path + ".kind", runner.kind(), kinds, "accelerators");
			this.report.exists(path + ".model", runner.model(), models.keySet(), "models");
			FederationPart.ModelSpec spec = models.get(runner.model());
			if (spec != null) {
				held(path, runner, spec);
			}
		}
	}

	private void held(String path, Runner runner, FederationPart.ModelSpec spec) {
		if (runner.layers().end() > spec.layers()) {
			this.report.add(path + ".end",
					"layers " + runner.layers() + " exceed the " + spec.layers() + " layers of " + spec.model(),
					"use an end of at most " + spec.layers());
		}
		if (runner.adapter() != null) {
			this.report.exists(path + ".adapter", runner.adapter(), spec.adapters(), "adapters of the model");
		}
	}

	private void applicationRunners() {
		Set<DataCentreId> centres = dataCentres();
		for (int i = 0; i < this.part.applicationRunners().size(); i++) {
			String path = PartReport.at("applicationRunners", i) + ".dataCentre";
			this.report.exists(path, this.part.applicationRunners().get(i).dataCentre(), centres, "dataCentres");
		}
	}

	// Two runners at one address would count the capacity of one process twice.
	private void addresses() {
		Map<Address, String> used = new HashMap<>();
		for (int i = 0; i < this.part.runners().size(); i++) {
			address(used, PartReport.at("runners", i), this.part.runners().get(i).address());
		}
		for (int i = 0; i < this.part.applicationRunners().size(); i++) {
			address(used, PartReport.at("applicationRunners", i), this.part.applicationRunners().get(i).address());
		}
	}

	private void address(Map<Address, String> used, String path, Address address) {
		String earlier = used.putIfAbsent(address, path);
		if (earlier != null) {
			this.report.add(path + ".address", address + " is also the address of " + earlier,
					"give each runner its own address");
		}
	}

	private Set<DataCentreId> dataCentres() {
		return PartReport.keys(this.part.dataCentres(), FederationPart.DataCentre::dataCentre);
	}

}
