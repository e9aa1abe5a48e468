/**
 * Admission control: divides the capacity of the federation's runners fairly among clubs
 * and teams, together with the other entries.
 */
@NullMarked
package io.bilberryvalve.daemon.share;

import org.jspecify.annotations.NullMarked;
