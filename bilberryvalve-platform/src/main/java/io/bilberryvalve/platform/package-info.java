/**
 * Clients of the platform services.
 */
@NullMarked
package io.bilberryvalve.platform;

import org.jspecify.annotations.NullMarked;
