/**
 * Stand-ins for engines, application runners and the platform.
 */
@NullMarked
package io.bilberryvalve.standins;

import org.jspecify.annotations.NullMarked;
