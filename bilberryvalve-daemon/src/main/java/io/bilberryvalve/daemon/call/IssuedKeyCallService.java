package io.bilberryvalve.daemon.call;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.daemon.peer.MessageKind;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.OperationId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.once.DispatchResult;
import io.bilberryvalve.policy.once.IssuedKeys;
import io.bilberryvalve.wire.proto.CallMessages.KeyCall;
import io.bilberryvalve.wire.proto.CallMessages.KeyReply;

/**
 * Makes calls that carry a key issued by an entry. Only the issuer may dispatch a call
 * with its key: a call with a key of this entry is dispatched here, any other call is
 * forwarded to the entry that issued its key.
 */
public final class IssuedKeyCallService {

	/**
	 * Time reserved for the messages between the entries; deducted from the timeout that
	 * is passed to the issuer.
	 */
	private static final Duration FORWARDING_TIME = Duration.ofMillis(50);

	private final VmId vm;

	private final IssuedKeys keys;

	private final CallDispatcher dispatcher;

	private final PeerNetwork peers;

	private final Clock clock;

	/**
	 * Creates the service and registers it for calls that other entries forward.
	 * @param vm the VM of this entry
	 * @param keys keys issued by this incarnation; no other object may use them, because
	 * this object synchronizes the access
	 * @param dispatcher sends calls to runners
	 * @param peers network to the other entries
	 * @param clock monotonic clock
	 */
	public IssuedKeyCallService(VmId vm, IssuedKeys keys, CallDispatcher dispatcher, PeerNetwork peers, Clock clock) {
		this.vm = vm;
		this.keys = keys;
		this.dispatcher = dispatcher;
		this.peers = peers;
		this.clock = clock;
		peers.setResponder(MessageKind.KEY_CALL, (sender, body) -> handleForwardedCall(body));
	}

	Optional<String> issueKey(ClubId club) {
		synchronized (this.keys) {
			return this.keys.issue(club);
		}
	}

	CompletionStage<Result<CallReply>> call(VmId issuer, String key, ApplicationCall call, Instant deadline) {
		return issuer.equals(this.vm) ? callLocally(key, call, call.digest(), deadline)
				: forward(issuer, key, call, deadline);
	}

	private CompletionStage<Result<CallReply>> callLocally(String key, ApplicationCall call, String digest,
			Instant deadline) {
		IssuedKeys.Decision decision;
		String result;
		synchronized (this.keys) {
			decision = this.keys.decide(key, call.club(), digest);
			result = this.keys.result(key);
		}
		if (decision == IssuedKeys.Decision.DISPATCH) {
			return dispatch(key, call, deadline);
		}
		if (decision == IssuedKeys.Decision.COMPLETED && result != null) {
			return CompletableFuture.completedFuture(Result.ok(new CallReply(CallResult.decode(result), true)));
		}
		return CompletableFuture.completedFuture(Result.failed(CallProblems.ofDecision(decision)));
	}

	private CompletionStage<Result<CallReply>> dispatch(String key, ApplicationCall call, Instant deadline) {
		return this.dispatcher.dispatchOnce(call, deadline)
			.exceptionally((error) -> new ApplicationClient.Reply.Lost(error.toString()))
			.thenApply((reply) -> {
				synchronized (this.keys) {
					this.keys.dispatchEnded(key, DispatchResults.fromReply(reply));
				}
				if (reply instanceof ApplicationClient.Reply.Answered answered) {
					return Result.ok(new CallReply(answered.result(), false));
				}
				boolean notSent = reply instanceof ApplicationClient.Reply.NotSent;
				return Result.failed(notSent ? CallProblems.noUpstream() : CallProblems.replyLost());
			});
	}

	private CompletionStage<Result<CallReply>> forward(VmId issuer, String key, ApplicationCall call,
			Instant deadline) {
		Duration remaining = Duration.between(this.clock.instant(), deadline);
		KeyCall message = KeyCall.newBuilder()
			.setClub(call.club().value())
			.setApplication(call.application().value())
			.setOperation(call.operation().value())
			.setKey(key)
			.setRequestDigest(call.digest())
			.setContentType(call.contentType())
			.setBody(ByteString.copyFrom(call.body()))
			.setTimeoutMillis(Math.max(0, remaining.minus(FORWARDING_TIME).toMillis()))
			.build();
		return this.peers.call(issuer, MessageKind.KEY_CALL, message.toByteArray(), remaining)
			.handle((result, error) -> (result instanceof Result.Ok<byte[]> ok) ? decodeReply(issuer, ok.value())
					: Result.failed(CallProblems.issuerUnavailable(issuer)));
	}

	private static Result<CallReply> decodeReply(VmId issuer, byte[] bytes) {
		try {
			return CallMessageCodec.decode(KeyReply.parseFrom(bytes));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			return Result.failed(CallProblems.issuerUnavailable(issuer));
		}
	}

	private CompletionStage<byte[]> handleForwardedCall(byte[] body) {
		try {
			KeyCall message = KeyCall.parseFrom(body);
			ApplicationCall call = new ApplicationCall(new ClubId(message.getClub()),
					new ApplicationId(message.getApplication()), new OperationId(message.getOperation()),
					message.getContentType(), message.getBody().toByteArray(), message.getKey());
			Instant deadline = this.clock.instant().plusMillis(message.getTimeoutMillis());
			return callLocally(message.getKey(), call, message.getRequestDigest(), deadline)
				.thenApply((result) -> CallMessageCodec.encode(result).toByteArray());
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			Problem problem = CallProblems.badRequest(ex);
			return CompletableFuture.completedFuture(CallMessageCodec.encode(Result.failed(problem)).toByteArray());
		}
	}

	/**
	 * Converts the replies of application runners to the results that are recorded for
	 * keys.
	 */
	static final class DispatchResults {

		private DispatchResults() {
		}

		static DispatchResult fromReply(ApplicationClient.Reply reply) {
			if (reply instanceof ApplicationClient.Reply.Answered answered) {
				return new DispatchResult.Replied(answered.result().encode());
			}
			return (reply instanceof ApplicationClient.Reply.NotSent) ? new DispatchResult.NotSent()
					: new DispatchResult.Lost();
		}

	}

}
