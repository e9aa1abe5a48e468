/**
 * Finds parts of prompts that crash runners, so that requests with them are rejected for
 * a while.
 */
@NullMarked
package io.bilberryvalve.policy.quarantine;

import org.jspecify.annotations.NullMarked;
