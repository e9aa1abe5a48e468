/**
 * Decisions without input or output.
 */
@NullMarked
package io.bilberryvalve.policy;

import org.jspecify.annotations.NullMarked;
