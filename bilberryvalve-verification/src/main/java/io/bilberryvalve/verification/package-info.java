/**
 * Model checking, history checking and whole-process tests.
 */
@NullMarked
package io.bilberryvalve.verification;

import org.jspecify.annotations.NullMarked;
