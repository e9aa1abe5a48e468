/**
 * Readiness, drain and the count of requests in progress.
 */
@NullMarked
package io.bilberryvalve.daemon.lifecycle;

import org.jspecify.annotations.NullMarked;
