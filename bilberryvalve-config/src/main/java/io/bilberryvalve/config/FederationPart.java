package io.bilberryvalve.config;

import java.util.List;

import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.Link;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.Runner;

/**
 * The part of the configuration that all clubs share.
 *
 * @param shares share of each club in the accelerator budget
 * @param dataCentres data centres and their regions
 * @param models model versions that runners may hold
 * @param accelerators kinds of accelerators
 * @param links network links between data centres
 * @param runners model runners
 * @param applicationRunners application runners
 */
public record FederationPart(List<ClubShare> shares, List<DataCentre> dataCentres, List<ModelSpec> models,
		List<AcceleratorSpec> accelerators, List<Link> links, List<Runner> runners,
		List<ApplicationRunner> applicationRunners) implements ConfigurationPart {

	/**
	 * Copies the lists.
	 */
	public FederationPart {
		shares = List.copyOf(shares);
		dataCentres = List.copyOf(dataCentres);
		models = List.copyOf(models);
		accelerators = List.copyOf(accelerators);
		links = List.copyOf(links);
		runners = List.copyOf(runners);
		applicationRunners = List.copyOf(applicationRunners);
	}

	/**
	 * Returns a part without entries.
	 * @return the empty part
	 */
	public static FederationPart empty() {
		return new FederationPart(List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
	}

	@Override
	public String name() {
		return FEDERATION;
	}

	/**
	 * Guaranteed part of a club in the accelerator budget.
	 *
	 * @param club the club
	 * @param percent guaranteed share in percent; all shares sum to at most 100
	 */
	public record ClubShare(ClubId club, double percent) {

	}

	/**
	 * A data centre.
	 *
	 * @param dataCentre the data centre
	 * @param region its region
	 */
	public record DataCentre(DataCentreId dataCentre, RegionId region) {

	}

	/**
	 * A model version and its sizes.
	 *
	 * @param model the model version
	 * @param layers number of layers
	 * @param activationBytes bytes passed from stage to stage for one token
	 * @param kvBytesPerTokenLayer bytes of KV cache for one token in one layer
	 * @param adapters adapters that may be loaded with the model
	 */
	public record ModelSpec(ModelVersion model, int layers, long activationBytes, long kvBytesPerTokenLayer,
			List<String> adapters) {

		/**
		 * Copies the list.
		 */
		public ModelSpec {
			adapters = List.copyOf(adapters);
		}

	}

	/**
	 * Speed of a kind of accelerator.
	 *
	 * @param kind the kind
	 * @param decodeLayersPerSecond layers computed a second for one token in the decode
	 * phase
	 * @param prefillLayersPerSecond layers computed a second, summed over prompt tokens
	 */
	public record AcceleratorSpec(AcceleratorKind kind, double decodeLayersPerSecond, double prefillLayersPerSecond) {

	}

}
