package io.bilberryvalve.model;

/**
 * A runner that executes calls of an application. A runner of a language model is a
 * {@link Runner}.
 *
 * @param id identifier of the runner
 * @param address address on which the service accepts calls
 * @param dataCentre data centre in which the service runs
 * @param application application that it serves
 * @param checksKeys whether the service itself executes calls with the same idempotency
 * key at most once
 */
public record ApplicationRunner(RunnerId id, Address address, DataCentreId dataCentre, ApplicationId application,
		boolean checksKeys) {

}
