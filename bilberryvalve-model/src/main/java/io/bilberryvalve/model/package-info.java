/**
 * Federation objects, identifiers, clocks and outcomes.
 */
@NullMarked
package io.bilberryvalve.model;

import org.jspecify.annotations.NullMarked;
