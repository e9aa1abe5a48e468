/**
 * Configuration of the daemon: submission of changes, distribution between daemons and
 * activation.
 */
@NullMarked
package io.bilberryvalve.daemon.configuration;

import org.jspecify.annotations.NullMarked;
