/**
 * Messages and transport between daemons.
 */
@NullMarked
package io.bilberryvalve.wire;

import org.jspecify.annotations.NullMarked;
