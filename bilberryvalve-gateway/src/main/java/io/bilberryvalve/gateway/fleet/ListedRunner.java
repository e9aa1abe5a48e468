package io.bilberryvalve.gateway.fleet;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Entry of a runner in the list of runners, as written by the runner itself. Immutable.
 *
 * @param id identifier of the runner
 * @param address address at which it listens
 * @param service name of the service to which it belongs
 * @param dataCentre data centre of the runner
 * @param slots number of requests that it runs at once
 * @param leaving whether it accepts no new requests
 * @param card name of its kind of card, or {@code null} for an application runner
 * @param layers layers that it holds, or {@code null} for none
 * @param startedMillis time of its start on its own clock; it distinguishes the starts of
 * runners with the same identifier
 * @param heartbeats number of the entry among those that the runner has written since its
 * start, or 0 if the entries are not numbered
 */
public record ListedRunner(RunnerId id, Address address, String service, DataCentreId dataCentre, int slots,
		boolean leaving, @Nullable String card, @Nullable LayerRange layers, long startedMillis, long heartbeats) {

	/**
	 * Returns this entry as that of a runner that accepts no new requests.
	 * @return the entry with {@link #leaving()} set
	 */
	public ListedRunner asLeaving() {
		return this.leaving ? this : new ListedRunner(this.id, this.address, this.service, this.dataCentre, this.slots,
				true, this.card, this.layers, this.startedMillis, this.heartbeats);
	}

	/**
	 * Returns whether another entry states the same as this one. Most heartbeats change
	 * nothing but the number of the entry.
	 * @param other another entry
	 * @return whether the entries differ at most in {@link #heartbeats()}
	 */
	public boolean statesSameAs(ListedRunner other) {
		return equals(new ListedRunner(other.id, other.address, other.service, other.dataCentre, other.slots,
				other.leaving, other.card, other.layers, other.startedMillis, this.heartbeats));
	}

}
