/**
 * Load balancing: chooses which runner or chain receives a request, from the load, health
 * and prefix cache of the runners.
 */
@NullMarked
package io.bilberryvalve.policy.choice;

import org.jspecify.annotations.NullMarked;
