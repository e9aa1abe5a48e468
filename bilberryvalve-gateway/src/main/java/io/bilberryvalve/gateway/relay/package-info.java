/**
 * The path of one request from its caller to a runner and back.
 */
@NullMarked
package io.bilberryvalve.gateway.relay;

import org.jspecify.annotations.NullMarked;
