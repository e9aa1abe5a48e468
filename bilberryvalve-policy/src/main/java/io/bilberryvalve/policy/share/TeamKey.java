package io.bilberryvalve.policy.share;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;

/**
 * A team of a club.
 *
 * @param club the club
 * @param team the team
 */
public record TeamKey(ClubId club, TeamId team) {

}
