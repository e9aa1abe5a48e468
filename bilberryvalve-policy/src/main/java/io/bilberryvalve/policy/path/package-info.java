/**
 * Chooses the runners that a request passes through, by layer boundaries and load.
 */
@NullMarked
package io.bilberryvalve.policy.path;

import org.jspecify.annotations.NullMarked;
