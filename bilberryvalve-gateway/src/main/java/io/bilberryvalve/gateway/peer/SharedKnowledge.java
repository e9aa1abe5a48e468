package io.bilberryvalve.gateway.peer;

import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.policy.quarantine.PartQuarantine;

/**
 * What this daemon knows of runners and shares with the other daemons.
 *
 * @param loadTracker load of runners
 * @param runnerAvailability availability of runners
 * @param partQuarantine suspected prompt parts
 */
record SharedKnowledge(LoadTracker loadTracker, RunnerAvailability runnerAvailability, PartQuarantine partQuarantine) {

}
