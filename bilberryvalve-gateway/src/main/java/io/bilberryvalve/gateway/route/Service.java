package io.bilberryvalve.gateway.route;

import io.bilberryvalve.policy.placement.EngineProfile;
import org.jspecify.annotations.Nullable;

/**
 * A group of like runners.
 *
 * @param name name of the service
 * @param engine the engines, or {@code null} for plain application runners
 */
public record Service(String name, @Nullable EngineProfile engine) {

}
