/**
 * Tracks the listed runners, their load over all daemons, the progress of their streams,
 * and which of them are usable.
 */
@NullMarked
package io.bilberryvalve.gateway.fleet;

import org.jspecify.annotations.NullMarked;
