/**
 * Load and health of runners, and planning of chains in the background.
 */
@NullMarked
package io.bilberryvalve.daemon.runner;

import org.jspecify.annotations.NullMarked;
