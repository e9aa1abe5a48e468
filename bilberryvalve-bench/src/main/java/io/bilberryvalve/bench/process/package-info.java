/**
 * Runs a federation as processes on loopback and calls it as a client, for measurements
 * and tests. The product itself starts no process.
 */
@NullMarked
package io.bilberryvalve.bench.process;

import org.jspecify.annotations.NullMarked;
