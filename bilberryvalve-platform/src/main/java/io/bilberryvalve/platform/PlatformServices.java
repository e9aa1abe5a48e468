package io.bilberryvalve.platform;

/**
 * Clients of all platform services.
 *
 * @param tables transactional table service
 * @param objects object store
 * @param weights weight store
 * @param vms list of the entry VMs
 */
public record PlatformServices(TableService tables, ObjectStore objects, WeightStore weights, VmList vms) {

}
