/**
 * Entry daemon: main class, logging, and the creation and shutdown of all components.
 */
@NullMarked
package io.bilberryvalve.daemon;

import org.jspecify.annotations.NullMarked;
