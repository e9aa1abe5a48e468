/**
 * Example declarations of a federation with two clubs.
 */
@NullMarked
package io.bilberryvalve.operators.examples;

import org.jspecify.annotations.NullMarked;
