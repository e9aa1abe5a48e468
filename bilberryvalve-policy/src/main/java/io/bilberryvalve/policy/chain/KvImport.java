package io.bilberryvalve.policy.chain;

import io.bilberryvalve.model.Runner;

/**
 * Transfer of the KV cache of a stream from one runner to another.
 *
 * @param target runner that needs the cache
 * @param source runner that holds it
 */
public record KvImport(Runner target, Runner source) {

}
