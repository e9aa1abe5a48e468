/**
 * Decision logic of the router. Nothing in these packages performs I/O: callers pass in
 * events and times, and carry out the decisions.
 */
@NullMarked
package io.bilberryvalve.policy;

import org.jspecify.annotations.NullMarked;
