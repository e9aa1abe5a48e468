/**
 * The runners that exist, their load over all daemons, and how far they are trusted.
 */
@NullMarked
package io.bilberryvalve.gateway.fleet;

import org.jspecify.annotations.NullMarked;
