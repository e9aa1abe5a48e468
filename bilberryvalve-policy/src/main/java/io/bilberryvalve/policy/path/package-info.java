/**
 * Chooses the path of runners for a request, by the layers that they hold and by their
 * load.
 */
@NullMarked
package io.bilberryvalve.policy.path;

import org.jspecify.annotations.NullMarked;
