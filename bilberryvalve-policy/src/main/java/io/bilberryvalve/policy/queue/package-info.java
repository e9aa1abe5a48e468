/**
 * Wait queue for requests that find no free slot: its order, its rejections, and the
 * delay before a rejected caller retries.
 */
@NullMarked
package io.bilberryvalve.policy.queue;

import org.jspecify.annotations.NullMarked;
