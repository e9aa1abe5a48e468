/**
 * In-memory platform services with fault injection, for tests and simulations.
 */
@NullMarked
package io.bilberryvalve.platform.memory;

import org.jspecify.annotations.NullMarked;
