/**
 * Identifiers, runners, links, and the problems reported to callers and operators.
 */
@NullMarked
package io.bilberryvalve.model;

import org.jspecify.annotations.NullMarked;
