/**
 * Fault injection of the stand-ins, a control for tests only.
 */
@NullMarked
package io.bilberryvalve.standins.fault;

import org.jspecify.annotations.NullMarked;
