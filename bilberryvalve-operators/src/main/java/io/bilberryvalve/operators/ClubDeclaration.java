package io.bilberryvalve.operators;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.KeyDigest;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.CallerId;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.OperatorId;
import io.bilberryvalve.model.PipelineId;
import io.bilberryvalve.model.TeamId;

/**
 * Declares the part of a club. {@link Federation#club} hands it out. Teams are declared
 * before their callers, and callers before the pipelines and applications that they use.
 */
public final class ClubDeclaration {

	private final ClubId club;

	private final Map<TeamId, ClubPart.Team> teams = new LinkedHashMap<>();

	private final Map<CallerId, ClubPart.Caller> callers = new LinkedHashMap<>();

	private final Map<OperatorId, ClubPart.Operator> operators = new LinkedHashMap<>();

	private final Map<PipelineId, ClubPart.Pipeline> pipelines = new LinkedHashMap<>();

	private final Map<ApplicationId, ClubPart.Application> applications = new LinkedHashMap<>();

	ClubDeclaration(ClubId club) {
		this.club = club;
	}

	/**
	 * Adds a team.
	 * @param name the team
	 * @param weight weight within the club's share, above 0
	 * @return this declaration
	 * @throws IllegalArgumentException if the name is malformed or declared twice, or the
	 * weight is not positive
	 */
	public ClubDeclaration team(String name, double weight) {
		TeamId team = new TeamId(name);
		Arguments.add(this.teams, team, new ClubPart.Team(team, Arguments.positive("weight", weight)), "team");
		return this;
	}

	/**
	 * Adds a caller.
	 * @param name the caller
	 * @param team its team, declared before
	 * @param keyDigest digest (SHA-256) of its key, 64 lower-case hexadecimal digits
	 * @return this declaration
	 * @throws IllegalArgumentException if the name is malformed or declared twice, the
	 * team is not declared or the digest is malformed
	 */
	public ClubDeclaration caller(String name, String team, String keyDigest) {
		CallerId caller = new CallerId(name);
		TeamId known = Arguments.known(this.teams.keySet(), new TeamId(team), "team");
		Arguments.add(this.callers, caller, new ClubPart.Caller(caller, known, KeyDigest.check(keyDigest)), "caller");
		return this;
	}

	/**
	 * Adds an operator.
	 * @param name the operator
	 * @param keyDigest digest (SHA-256) of the operator's key, 64 lower-case hexadecimal
	 * digits
	 * @return this declaration
	 * @throws IllegalArgumentException if the name is malformed or declared twice or the
	 * digest is malformed
	 */
	public ClubDeclaration operator(String name, String keyDigest) {
		OperatorId operator = new OperatorId(name);
		Arguments.add(this.operators, operator, new ClubPart.Operator(operator, KeyDigest.check(keyDigest)),
				"operator");
		return this;
	}

	/**
	 * Adds a pipeline.
	 * @param name the pipeline
	 * @param declare states its model, adapter, callers and longest reply
	 * @return this declaration
	 * @throws IllegalArgumentException if the name is malformed or declared twice or the
	 * declaration is incomplete
	 */
	public ClubDeclaration pipeline(String name, Consumer<PipelineDeclaration> declare) {
		PipelineDeclaration declaration = new PipelineDeclaration(name, Set.copyOf(this.callers.keySet()));
		declare.accept(declaration);
		ClubPart.Pipeline pipeline = declaration.build();
		Arguments.add(this.pipelines, pipeline.pipeline(), pipeline, "pipeline");
		return this;
	}

	/**
	 * Adds an application.
	 * @param name the application
	 * @param declare states its callers and operations
	 * @return this declaration
	 * @throws IllegalArgumentException if the name is malformed or declared twice or the
	 * application has no operation
	 */
	public ClubDeclaration application(String name, Consumer<ApplicationDeclaration> declare) {
		ApplicationDeclaration declaration = new ApplicationDeclaration(name, Set.copyOf(this.callers.keySet()));
		declare.accept(declaration);
		ClubPart.Application application = declaration.build();
		Arguments.add(this.applications, application.application(), application, "application");
		return this;
	}

	ClubPart build() {
		return new ClubPart(this.club, this.teams.values().stream().toList(), this.callers.values().stream().toList(),
				this.operators.values().stream().toList(), this.pipelines.values().stream().toList(),
				this.applications.values().stream().toList());
	}

}
