/**
 * The configuration in force.
 */
@NullMarked
package io.bilberryvalve.daemon.configuration;

import org.jspecify.annotations.NullMarked;
