package io.bilberryvalve.gateway.route;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param headerBytes largest size of the headers of a request, in bytes
 * @param bodyBytes largest size of the body of a request, in bytes
 * @param headerTimeout longest time to send the headers of a request
 * @param idleTimeout longest time that a connection may stay open without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {

}
