/**
 * Metrics, status document and the report of service-level burn rates.
 */
@NullMarked
package io.bilberryvalve.daemon.report;

import org.jspecify.annotations.NullMarked;
