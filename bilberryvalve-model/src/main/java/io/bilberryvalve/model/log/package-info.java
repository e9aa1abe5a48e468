/**
 * Structured log lines of key=value pairs.
 */
@NullMarked
package io.bilberryvalve.model.log;

import org.jspecify.annotations.NullMarked;
