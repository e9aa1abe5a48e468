/**
 * Leases stored in the table service.
 */
@NullMarked
package io.bilberryvalve.platform.lease;

import org.jspecify.annotations.NullMarked;
