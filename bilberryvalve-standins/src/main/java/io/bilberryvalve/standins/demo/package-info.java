/**
 * Callers for the demo script {@code bin/demo}. They meet entries only through the
 * interface for callers, with the HTTP client of the runtime.
 */
@NullMarked
package io.bilberryvalve.standins.demo;

import org.jspecify.annotations.NullMarked;
