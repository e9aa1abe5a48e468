package io.bilberryvalve.operators;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.CallerId;
import io.bilberryvalve.model.OperationId;

/**
 * Declares an application. {@link ClubDeclaration#application} hands it out.
 */
public final class ApplicationDeclaration {

	private final ApplicationId id;

	private final Set<CallerId> known;

	private final Map<CallerId, CallerId> callers = new LinkedHashMap<>();

	private final Map<OperationId, ClubPart.Operation> operations = new LinkedHashMap<>();

	ApplicationDeclaration(String id, Set<CallerId> known) {
		this.id = new ApplicationId(id);
		this.known = known;
	}

	/**
	 * Permits callers to use the application.
	 * @param names callers declared before
	 * @return this declaration
	 * @throws IllegalArgumentException if a caller is not declared or named twice
	 */
	public ApplicationDeclaration callers(String... names) {
		for (String name : names) {
			CallerId caller = Arguments.known(this.known, new CallerId(name), "caller");
			Arguments.add(this.callers, caller, caller, "caller of application " + this.id + ":");
		}
		return this;
	}

	/**
	 * Adds operations that must run at most once, such as an order.
	 * @param names the operations
	 * @return this declaration
	 * @throws IllegalArgumentException if a name is malformed or declared twice
	 */
	public ApplicationDeclaration atMostOnce(String... names) {
		return add(false, names);
	}

	/**
	 * Adds operations whose repetition is harmless, such as a query.
	 * @param names the operations
	 * @return this declaration
	 * @throws IllegalArgumentException if a name is malformed or declared twice
	 */
	public ApplicationDeclaration idempotent(String... names) {
		return add(true, names);
	}

	private ApplicationDeclaration add(boolean idempotent, String... names) {
		for (String name : names) {
			OperationId operation = new OperationId(name);
			Arguments.add(this.operations, operation, new ClubPart.Operation(operation, idempotent), "operation");
		}
		return this;
	}

	ClubPart.Application build() {
		if (this.operations.isEmpty()) {
			throw new IllegalArgumentException(
					"application " + this.id + " has no operation; call atMostOnce or idempotent");
		}
		return new ClubPart.Application(this.id, this.callers.keySet().stream().toList(),
				this.operations.values().stream().toList());
	}

}
