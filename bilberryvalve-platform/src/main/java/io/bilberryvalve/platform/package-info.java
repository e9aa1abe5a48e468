/**
 * Interfaces and results of the platform services: tables, objects, weights and the VM
 * list.
 */
@NullMarked
package io.bilberryvalve.platform;

import org.jspecify.annotations.NullMarked;
