/**
 * Metrics, status and the service-level burn report.
 */
@NullMarked
package io.bilberryvalve.daemon.report;

import org.jspecify.annotations.NullMarked;
