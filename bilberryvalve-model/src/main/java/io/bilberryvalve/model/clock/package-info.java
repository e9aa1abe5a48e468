/**
 * Clocks of the runtime and of tests.
 */
@NullMarked
package io.bilberryvalve.model.clock;

import org.jspecify.annotations.NullMarked;
