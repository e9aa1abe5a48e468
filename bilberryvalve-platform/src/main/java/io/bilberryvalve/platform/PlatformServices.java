package io.bilberryvalve.platform;

/**
 * All platform services.
 *
 * @param tables transactional table service
 * @param objects object store
 * @param weights weight store
 * @param vms VM list
 */
public record PlatformServices(TableService tables, ObjectStore objects, WeightStore weights, VmList vms) {

}
