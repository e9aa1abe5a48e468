/**
 * Fair shares of the accelerator budget and the order of waiting requests.
 */
@NullMarked
package io.bilberryvalve.policy.share;

import org.jspecify.annotations.NullMarked;
