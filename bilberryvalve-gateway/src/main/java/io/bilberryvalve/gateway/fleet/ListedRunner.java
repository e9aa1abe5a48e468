package io.bilberryvalve.gateway.fleet;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * A runner as it describes itself in the list of runners.
 *
 * @param id the runner
 * @param address where it listens
 * @param service service to which it belongs
 * @param dataCentre where it stands
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param card name of its kind of card, or {@code null} for an application runner
 * @param layers the layers that it holds, or {@code null} for none
 * @param startedMillis time of its start on its own clock; it tells starts under one id
 * apart
 */
public record ListedRunner(RunnerId id, Address address, String service, DataCentreId dataCentre, int slots,
		boolean leaving, @Nullable String card, @Nullable LayerRange layers, long startedMillis) {

}
