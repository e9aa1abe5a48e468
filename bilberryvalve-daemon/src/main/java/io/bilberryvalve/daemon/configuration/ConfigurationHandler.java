package io.bilberryvalve.daemon.configuration;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.daemon.http.Access;
import io.bilberryvalve.daemon.http.BodyReader;
import io.bilberryvalve.daemon.http.Exchange;
import io.bilberryvalve.daemon.http.Principal;
import io.bilberryvalve.daemon.http.Problems;
import io.bilberryvalve.daemon.http.Route;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.OperatorId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Handles HTTP requests of operators that read the configuration or submit a part of it.
 */
public final class ConfigurationHandler {

	/**
	 * Operator whose key digest is in the settings of the daemon. It may submit the
	 * federation part, and the parts of clubs that have no operator yet.
	 */
	public static final Principal.Operator BOOTSTRAP_OPERATOR = new Principal.Operator(
			new ClubId(ConfigurationParser.FEDERATION), new OperatorId("bootstrap"));

	private static final int MAX_SUBMISSION_ID_LENGTH = 100;

	private static final String PATH = "/v1/configuration";

	private static final ObjectMapper JSON = new ObjectMapper();

	private final ConfigurationSource source;

	private final ConfigurationRollout rollout;

	private final SubmissionService submissions;

	private final BodyReader bodyReader;

	/**
	 * Creates a handler.
	 * @param source provides the operators and the shares of the clubs
	 * @param rollout provides the texts of the active configuration
	 * @param submissions runs submissions
	 * @param bodyReader reads request bodies
	 */
	public ConfigurationHandler(ConfigurationSource source, ConfigurationRollout rollout, SubmissionService submissions,
			BodyReader bodyReader) {
		this.source = source;
		this.rollout = rollout;
		this.submissions = submissions;
		this.bodyReader = bodyReader;
	}

	/**
	 * Returns the routes of this handler.
	 * @return the routes for reading and submitting the configuration
	 */
	public List<Route> routes() {
		return List.of(Route.of(HttpRequestMethod.GET, PATH, Access.OPERATOR, false, this::show),
				Route.of(HttpRequestMethod.POST, PATH, Access.OPERATOR, true, this::submit));
	}

	private Single<StreamingHttpResponse> show(Exchange exchange) {
		ConfigurationSnapshot now = this.rollout.snapshot();
		ObjectNode node = JSON.createObjectNode().put("version", now.version()).put("digest", now.digest());
		ObjectNode parts = node.putObject("parts");
		now.texts().forEach(parts::put);
		return Single.succeeded(json(exchange, node));
	}

	private Single<StreamingHttpResponse> submit(Exchange exchange) {
		return this.bodyReader.read(exchange).flatMap((body) -> {
			Result<SubmissionRequest> request = body.flatMap(ConfigurationHandler::parse)
				.flatMap((parsed) -> authorize(exchange.operator(), parsed));
			if (request instanceof Result.Ok<SubmissionRequest> ok) {
				SubmissionRequest value = ok.value();
				return Single
					.fromStage(this.submissions.submit(value.id(), value.base(), value.part(), value.document()))
					.map((result) -> response(exchange, result));
			}
			return Single.succeeded(
					Problems.response(exchange.responses(), ((Result.Failed<SubmissionRequest>) request).problem()));
		});
	}

	private Result<SubmissionRequest> authorize(Principal.Operator operator, SubmissionRequest request) {
		return mayChange(operator, request.part()) ? Result.ok(request)
				: Result.failed(Problem.notRun(ProblemKind.FORBIDDEN,
						"operator " + operator.operator() + " of club " + operator.club() + " may not change part "
								+ request.part(),
						"submit the part of the operator's own club; the federation part needs an operator of a club"
								+ " with a share"));
	}

	private boolean mayChange(Principal.Operator operator, String part) {
		boolean bootstrap = operator.equals(BOOTSTRAP_OPERATOR);
		if (part.equals(ConfigurationParser.FEDERATION)) {
			return bootstrap || this.source.current()
				.federation()
				.shares()
				.stream()
				.anyMatch((share) -> share.club().equals(operator.club()) && share.percent() > 0);
		}
		return bootstrap ? !hasOperators(part) : operator.club().value().equals(part);
	}

	private boolean hasOperators(String club) {
		return this.source.current()
			.clubs()
			.values()
			.stream()
			.anyMatch((part) -> part.club().value().equals(club) && !part.operators().isEmpty());
	}

	private static Result<SubmissionRequest> parse(byte[] body) {
		try {
			JsonNode node = JSON.readTree(body);
			SubmissionRequest request = new SubmissionRequest(node.path("submission").asText(),
					node.path("baseVersion").asLong(-1), node.path("part").asText(), node.path("document").asText());
			if (request.id().isBlank() || request.id().length() > MAX_SUBMISSION_ID_LENGTH || request.base() < 0) {
				return malformed("submission, baseVersion or part is missing or not valid");
			}
			if (!request.part().equals(ConfigurationParser.FEDERATION)) {
				new ClubId(request.part());
			}
			return Result.ok(request);
		}
		catch (IOException | IllegalArgumentException ex) {
			return malformed(String.valueOf(ex.getMessage()));
		}
	}

	private static Result<SubmissionRequest> malformed(String detail) {
		return Result.failed(Problem.notRun(ProblemKind.BAD_REQUEST, detail,
				"send {\"submission\": \"<id>\", \"baseVersion\": 7, \"part\": \"<club or federation>\","
						+ " \"document\": \"<text>\"}"));
	}

	private static StreamingHttpResponse response(Exchange exchange, Result<Long> result) {
		if (result instanceof Result.Ok<Long> ok) {
			return json(exchange, JSON.createObjectNode().put("version", ok.value()));
		}
		return Problems.response(exchange.responses(), ((Result.Failed<Long>) result).problem());
	}

	private static StreamingHttpResponse json(Exchange exchange, ObjectNode node) {
		StreamingHttpResponse response = exchange.responses().ok();
		response.headers().set("content-type", "application/json");
		return response.payloadBody(Publisher.from(BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(node.toString())));
	}

	private record SubmissionRequest(String id, long base, String part, String document) {

	}

}
