package io.bilberryvalve.gateway.relay;

import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadBook;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.PathLoads;
import io.bilberryvalve.policy.path.RequestSize;
import org.jspecify.annotations.Nullable;

/**
 * A reserved place at runners.
 *
 * @param runners the runners that the request passes, in order
 * @param path the layers at these runners, or {@code null} at an application runner
 * @param size reserved size
 */
record Reservation(List<ListedRunner> runners, @Nullable LayerPath path, RequestSize size) {

	ListedRunner first() {
		return this.runners.get(0);
	}

	List<RunnerId> runnerIds() {
		return this.runners.stream().map(ListedRunner::id).toList();
	}

	// Runners and links that the request uses, the first runner first.
	List<LoadBook.Part> resources() {
		LayerPath layers = this.path;
		List<LoadBook.Part> parts = new ArrayList<>();
		for (int i = 0; i < this.runners.size(); i++) {
			int held = (layers != null) ? layers.hops().get(i).layers().size() : 1;
			parts.add(new LoadBook.Part(this.runners.get(i).id(), held));
		}
		for (int i = 1; i < this.runners.size(); i++) {
			DataCentreId from = this.runners.get(i - 1).dataCentre();
			DataCentreId to = this.runners.get(i).dataCentre();
			if (!from.equals(to)) {
				parts.add(new LoadBook.Part(PathLoads.link(from, to), 1));
			}
		}
		return parts;
	}

}
