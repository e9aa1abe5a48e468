package io.bilberryvalve.gateway.relay;

import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.LoadSource;
import io.bilberryvalve.policy.path.RequestSize;
import org.jspecify.annotations.Nullable;

/**
 * A slot reserved at each runner that a request passes. It counts as load until it is
 * released through {@link ReservationQueue#release}.
 *
 * @param runners the runners that the request passes, in order of the path; an
 * application runner is alone
 * @param path the layers that each runner computes, or {@code null} for an application
 * runner
 * @param size expected size of the request, for which memory is reserved
 */
record Reservation(List<ListedRunner> runners, @Nullable LayerPath path, RequestSize size) {

	ListedRunner firstRunner() {
		return this.runners.get(0);
	}

	List<RunnerId> runnerIds() {
		return this.runners.stream().map(ListedRunner::id).toList();
	}

	/**
	 * Returns the expected time from the request to the end of its answer.
	 * @return milliseconds; 0 for an application runner, whose time is not known
	 */
	double expectedMillis() {
		LayerPath layerPath = this.path;
		return (layerPath != null) ? layerPath.firstTokenMillis() + this.size.answerTokens() * layerPath.tokenMillis()
				: 0;
	}

	// Returns the runners that the request uses in order of the path, and then the
	// links between data centres that it crosses.
	List<LoadTracker.PathSegment> resources() {
		LayerPath layerPath = this.path;
		List<LoadTracker.PathSegment> resources = new ArrayList<>();
		for (int i = 0; i < this.runners.size(); i++) {
			int layerCount = (layerPath != null) ? layerPath.hops().get(i).layers().size() : 1;
			resources.add(new LoadTracker.PathSegment(this.runners.get(i).id(), layerCount));
		}
		for (int i = 1; i < this.runners.size(); i++) {
			DataCentreId from = this.runners.get(i - 1).dataCentre();
			DataCentreId to = this.runners.get(i).dataCentre();
			if (!from.equals(to)) {
				resources.add(new LoadTracker.PathSegment(LoadSource.linkId(from, to), 1));
			}
		}
		return resources;
	}

}
