package io.bilberryvalve.policy.share;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;

/**
 * Identifies a team, whose id is unique only within its club.
 *
 * @param club club of the team
 * @param team id within the club
 */
public record TeamKey(ClubId club, TeamId team) {

}
