/**
 * Divides the streams of the runners among clubs, teams and entries by weight, and orders
 * the requests that wait at an entry.
 */
@NullMarked
package io.bilberryvalve.policy.share;

import org.jspecify.annotations.NullMarked;
