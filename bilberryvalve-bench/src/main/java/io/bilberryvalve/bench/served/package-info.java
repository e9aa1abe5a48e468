/**
 * A model of the systems served: runners, links and streams on a manual clock.
 */
@NullMarked
package io.bilberryvalve.bench.served;

import org.jspecify.annotations.NullMarked;
