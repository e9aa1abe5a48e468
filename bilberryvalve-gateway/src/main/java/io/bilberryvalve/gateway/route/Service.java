package io.bilberryvalve.gateway.route;

import io.bilberryvalve.policy.placement.EngineProfile;
import org.jspecify.annotations.Nullable;

/**
 * Group of runners of the same kind.
 *
 * @param name name of the service
 * @param engine profile of the engines, or {@code null} for plain application runners
 */
public record Service(String name, @Nullable EngineProfile engine) {

}
