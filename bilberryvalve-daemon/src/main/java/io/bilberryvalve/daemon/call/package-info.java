/**
 * Calls of application runners, at most once where an operation must not be repeated.
 */
@NullMarked
package io.bilberryvalve.daemon.call;

import org.jspecify.annotations.NullMarked;
