package io.bilberryvalve.model;

/**
 * A plain service that executes calls of an application.
 *
 * @param id the runner
 * @param address where the service listens
 * @param dataCentre data centre of the runner
 * @param application application that it serves
 * @param checksKeys whether the service executes an idempotency key at most once itself
 */
public record ApplicationRunner(RunnerId id, Address address, DataCentreId dataCentre, ApplicationId application,
		boolean checksKeys) {

}
