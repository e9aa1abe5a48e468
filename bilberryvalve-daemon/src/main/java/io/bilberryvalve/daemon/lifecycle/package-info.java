/**
 * Serving state of an entry, its graceful shutdown and the count of its requests in
 * progress.
 */
@NullMarked
package io.bilberryvalve.daemon.lifecycle;

import org.jspecify.annotations.NullMarked;
