/**
 * Calls of application operations. A call of an operation that is not idempotent carries
 * a key and is executed at most once.
 */
@NullMarked
package io.bilberryvalve.daemon.call;

import org.jspecify.annotations.NullMarked;
