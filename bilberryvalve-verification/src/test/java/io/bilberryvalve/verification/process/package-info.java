/**
 * Tests with whole processes on loopback, under faults.
 */
@NullMarked
package io.bilberryvalve.verification.process;

import org.jspecify.annotations.NullMarked;
