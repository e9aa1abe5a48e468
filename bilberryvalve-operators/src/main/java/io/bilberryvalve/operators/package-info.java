/**
 * Library with which operators declare pipelines.
 */
@NullMarked
package io.bilberryvalve.operators;

import org.jspecify.annotations.NullMarked;
