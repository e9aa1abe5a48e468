/**
 * Admission of requests by fair shares.
 */
@NullMarked
package io.bilberryvalve.daemon.share;

import org.jspecify.annotations.NullMarked;
