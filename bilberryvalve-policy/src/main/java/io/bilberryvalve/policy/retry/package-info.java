/**
 * Deadlines, retry policy and budgets, and detection of silent connections.
 */
@NullMarked
package io.bilberryvalve.policy.retry;

import org.jspecify.annotations.NullMarked;
