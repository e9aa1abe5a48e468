/**
 * Client of model engines: streams, KV transfers, load and cache events.
 */
@NullMarked
package io.bilberryvalve.daemon.engine;

import org.jspecify.annotations.NullMarked;
