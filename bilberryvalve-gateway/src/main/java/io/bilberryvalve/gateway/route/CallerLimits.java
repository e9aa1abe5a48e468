package io.bilberryvalve.gateway.route;

import java.time.Duration;

/**
 * What callers may send.
 *
 * @param headerBytes size of a request's headers
 * @param bodyBytes size of a request's body
 * @param headerTimeout time to send the headers
 * @param idleTimeout time that a connection may stay without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {

}
