/**
 * Decisions of a daemon whose own processor cannot keep up with its callers.
 */
@NullMarked
package io.bilberryvalve.policy.overload;

import org.jspecify.annotations.NullMarked;
