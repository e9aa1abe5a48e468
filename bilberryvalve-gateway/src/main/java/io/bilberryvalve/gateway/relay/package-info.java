/**
 * Relays each request of a caller to the runners that serve it and relays their response
 * back to the caller.
 */
@NullMarked
package io.bilberryvalve.gateway.relay;

import org.jspecify.annotations.NullMarked;
