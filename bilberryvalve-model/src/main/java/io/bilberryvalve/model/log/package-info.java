/**
 * Structured log lines.
 */
@NullMarked
package io.bilberryvalve.model.log;

import org.jspecify.annotations.NullMarked;
