package io.bilberryvalve.config;

import java.util.List;

import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.CallerId;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.OperationId;
import io.bilberryvalve.model.OperatorId;
import io.bilberryvalve.model.PipelineId;
import io.bilberryvalve.model.TeamId;
import org.jspecify.annotations.Nullable;

/**
 * The part of the configuration that a club owns.
 *
 * @param club the club
 * @param teams teams with their weights
 * @param callers callers with the digests of their keys
 * @param operators operators with the digests of their keys
 * @param pipelines pipelines that callers address as models
 * @param applications applications whose calls the system routes
 */
public record ClubPart(ClubId club, List<Team> teams, List<Caller> callers, List<Operator> operators,
		List<Pipeline> pipelines, List<Application> applications) implements ConfigurationPart {

	/**
	 * Copies the lists.
	 * @throws IllegalArgumentException if the club has the name of the federation part
	 */
	public ClubPart {
		if (club.value().equals(FEDERATION)) {
			throw new IllegalArgumentException(
					"'" + FEDERATION + "' names the part that all clubs share; give the club another identifier");
		}
		teams = List.copyOf(teams);
		callers = List.copyOf(callers);
		operators = List.copyOf(operators);
		pipelines = List.copyOf(pipelines);
		applications = List.copyOf(applications);
	}

	/**
	 * Returns a part without entries.
	 * @param club the club
	 * @return the empty part
	 */
	public static ClubPart empty(ClubId club) {
		return new ClubPart(club, List.of(), List.of(), List.of(), List.of(), List.of());
	}

	@Override
	public String name() {
		return this.club.value();
	}

	/**
	 * A team.
	 *
	 * @param team the team
	 * @param weight weight within the club's share, positive
	 */
	public record Team(TeamId team, double weight) {

	}

	/**
	 * A caller.
	 *
	 * @param caller the caller
	 * @param team its team
	 * @param keyDigest SHA-256 of its key, 64 lower-case hexadecimal digits
	 */
	public record Caller(CallerId caller, TeamId team, String keyDigest) {

	}

	/**
	 * An operator.
	 *
	 * @param operator the operator
	 * @param keyDigest SHA-256 of its key, 64 lower-case hexadecimal digits
	 */
	public record Operator(OperatorId operator, String keyDigest) {

	}

	/**
	 * A pipeline.
	 *
	 * @param pipeline the pipeline
	 * @param model model version that answers
	 * @param adapter adapter, or {@code null} for none
	 * @param callers callers that may use it
	 * @param maxTokens largest reply in tokens
	 */
	public record Pipeline(PipelineId pipeline, ModelVersion model, @Nullable String adapter, List<CallerId> callers,
			int maxTokens) {

		/**
		 * Copies the list.
		 */
		public Pipeline {
			callers = List.copyOf(callers);
		}

	}

	/**
	 * An application.
	 *
	 * @param application the application
	 * @param callers callers that may use it
	 * @param operations its operations
	 */
	public record Application(ApplicationId application, List<CallerId> callers, List<Operation> operations) {

		/**
		 * Copies the lists.
		 */
		public Application {
			callers = List.copyOf(callers);
			operations = List.copyOf(operations);
		}

	}

	/**
	 * An operation of an application.
	 *
	 * @param operation the operation
	 * @param idempotent whether repeating a call is harmless
	 */
	public record Operation(OperationId operation, boolean idempotent) {

	}

}
