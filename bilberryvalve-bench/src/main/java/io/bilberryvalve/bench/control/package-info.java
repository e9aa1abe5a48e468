/**
 * Control planes of many daemons in one process.
 */
@NullMarked
package io.bilberryvalve.bench.control;

import org.jspecify.annotations.NullMarked;
