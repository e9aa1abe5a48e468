/**
 * Stand-in for the platform: table service, object store, weight store and VM list.
 */
@NullMarked
package io.bilberryvalve.standins.platform;

import org.jspecify.annotations.NullMarked;
