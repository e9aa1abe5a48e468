/**
 * Tracks the members of the federation, selects entries for callers and peers for
 * connections, and plans graceful shutdowns.
 */
@NullMarked
package io.bilberryvalve.policy.membership;

import org.jspecify.annotations.NullMarked;
