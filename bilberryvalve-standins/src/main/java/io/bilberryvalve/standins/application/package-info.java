/**
 * Stand-in for an application runner.
 */
@NullMarked
package io.bilberryvalve.standins.application;

import org.jspecify.annotations.NullMarked;
