/**
 * Asynchronous logging to standard output.
 */
@NullMarked
package io.bilberryvalve.gateway.log;

import org.jspecify.annotations.NullMarked;
