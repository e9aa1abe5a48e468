/**
 * Settings and federation configuration: parsing, checks, canonical form and diff.
 */
@NullMarked
package io.bilberryvalve.config;

import org.jspecify.annotations.NullMarked;
