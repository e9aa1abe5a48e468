/**
 * Tracks the load and the health of the runners and plans chains in the background.
 */
@NullMarked
package io.bilberryvalve.daemon.runner;

import org.jspecify.annotations.NullMarked;
