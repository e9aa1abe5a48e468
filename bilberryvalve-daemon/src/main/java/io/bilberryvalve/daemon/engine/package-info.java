/**
 * Client of the model engines: token streams, KV cache transfers, load reports and prefix
 * cache events.
 */
@NullMarked
package io.bilberryvalve.daemon.engine;

import org.jspecify.annotations.NullMarked;
