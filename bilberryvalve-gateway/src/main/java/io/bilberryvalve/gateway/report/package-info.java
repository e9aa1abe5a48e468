/**
 * Counters and latency histograms of a gateway.
 */
@NullMarked
package io.bilberryvalve.gateway.report;

import org.jspecify.annotations.NullMarked;
