/**
 * Decides which of several candidates receives a request.
 */
@NullMarked
package io.bilberryvalve.policy.choice;

import org.jspecify.annotations.NullMarked;
