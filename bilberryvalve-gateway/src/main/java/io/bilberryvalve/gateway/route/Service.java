package io.bilberryvalve.gateway.route;

import io.bilberryvalve.policy.placement.EngineProfile;
import org.jspecify.annotations.Nullable;

/**
 * A group of like runners.
 *
 * @param name name of the service
 * @param maxConnections connections that a runner accepts from all daemons
 * @param engine the engines, or {@code null} for plain application runners
 */
public record Service(String name, int maxConnections, @Nullable EngineProfile engine) {

}
