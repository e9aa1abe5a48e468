package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;

import io.bilberryvalve.daemon.peer.MessageKind;
import io.bilberryvalve.daemon.peer.Peer;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.daemon.reply.FakeEngines.FakeStream;
import io.bilberryvalve.model.EventId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.outcome.LayerStep;
import io.bilberryvalve.policy.outcome.TokenEvent;
import io.bilberryvalve.wire.proto.ResumeAnswer;
import io.bilberryvalve.wire.proto.ResumeProblem;
import io.bilberryvalve.wire.proto.ResumedToken;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class ResumedReplyTests {

	private static final int LENGTH = 4;

	private static final Result<byte[]> SILENT = Result
		.failed(Problem.unknown(ProblemKind.DEADLINE_EXCEEDED, "no answer in time", "check the state"));

	private static final Result<byte[]> GONE = Result
		.failed(Problem.notRun(ProblemKind.UNAVAILABLE, "not connected", "repeat"));

	private static final EventId FIRST = new EventId(new RequestId(new VmId("pav-2"), 1, 1), 1, 0, new RunnerId("r1"));

	private final ReplyFixture fixture = new ReplyFixture();

	private final FakeEngines engines = this.fixture.engines;

	private final Deque<Result<byte[]>> answers = new ArrayDeque<>();

	private Result<byte[]> lastAnswer = GONE;

	private final ResumeService service = new ResumeService(this.fixture.services, this.fixture.registry, new Owner(),
			new PipelineIndex(this.fixture.configuration), ReplyFixture.SELF);

	// Guards against reply-lost for a reply whose owner was silent for a moment.
	@Example
	void asksASilentOwnerAgain() {
		this.answers.add(SILENT);
		this.answers.add(SILENT);
		this.lastAnswer = found(1, LENGTH);
		CompletableFuture<Result<OpenReply>> resumed = resume(FIRST);
		assertThat(resumed).isNotDone();
		this.fixture.advance(500);
		this.fixture.advance(500);
		assertComplete(resumed);
	}

	// Guards against waiting for an owner that is gone.
	@Example
	void reportsALostReplyIfItsOwnerIsGone() {
		CompletableFuture<Result<OpenReply>> resumed = resume(FIRST);
		assertThat(resumed).isDone();
		assertThat(problem(resumed)).isEqualTo(ProblemKind.REPLY_LOST);
	}

	// Guards against ending a resumed reply whose engine was silent for a moment.
	@Example
	void goesOnAfterASilenceOfTheEngine() {
		this.engines.keepsStreams = true;
		CompletableFuture<Result<OpenReply>> resumed = resume(FIRST);
		FakeStream first = this.engines.resumed.get(0);
		send(first, 1);
		this.fixture.advance(1001);
		this.fixture.advance(1001);
		this.fixture.advance(1001);
		assertThat(log(resumed).ended()).isFalse();
		assertThat(first.closed).isFalse();
		send(first, 2);
		send(first, 3);
		assertComplete(resumed);
	}

	// Guards against waiting on a connection that went silent for good.
	@Example
	void readsASilentEngineOnASecondConnection() {
		this.engines.keepsStreams = true;
		CompletableFuture<Result<OpenReply>> resumed = resume(FIRST);
		FakeStream first = this.engines.resumed.get(0);
		send(first, 1);
		this.fixture.advance(1001);
		assertThat(this.engines.resumed).hasSize(2);
		FakeStream second = this.engines.resumed.get(1);
		send(second, 2);
		assertThat(first.closed).isTrue();
		send(first, 2);
		send(second, 3);
		assertComplete(resumed);
	}

	// Guards against losing the first connection because the second one fails.
	@Example
	void goesOnIfTheSecondConnectionFails() {
		this.engines.keepsStreams = true;
		CompletableFuture<Result<OpenReply>> resumed = resume(FIRST);
		FakeStream first = this.engines.resumed.get(0);
		this.engines.keepsStreams = false;
		this.fixture.advance(1001);
		assertThat(log(resumed).ended()).isFalse();
		IntStream.range(1, LENGTH).forEach((index) -> send(first, index));
		assertComplete(resumed);
	}

	// Guards against a resumed reply without an end.
	@Example
	void endsIfTheEngineStaysSilent() {
		this.engines.keepsStreams = true;
		CompletableFuture<Result<OpenReply>> resumed = resume(FIRST);
		long limit = ReplySettings.defaults().defaultTimeout().toMillis();
		for (int i = 0; i < limit; i += 1000) {
			this.fixture.advance(1000);
			assertThat(log(resumed).ended()).isFalse();
		}
		this.fixture.advance(1);
		assertThat(log(resumed).problem()).isNotNull();
		assertThat(this.engines.resumed).allMatch((stream) -> stream.closed);
	}

	// Guards against a request without an answer after an unreadable message.
	@Example
	void answersAfterAnUnreadableMessageOfTheOwner() {
		this.lastAnswer = Result.ok(new byte[] { -1, 7, 99 });
		assertThat(resume(FIRST)).isDone();
		this.lastAnswer = Result.ok(ResumeAnswer.newBuilder()
			.setStatus(ResumeAnswer.Status.STATUS_FOUND)
			.setEnded(true)
			.setProblem(ResumeProblem.newBuilder().setKind("NEW_KIND").setOutcome("PERHAPS"))
			.build()
			.toByteArray());
		assertThat(resume(FIRST)).isDone();
		this.lastAnswer = Result.ok(ResumeAnswer.newBuilder()
			.setStatus(ResumeAnswer.Status.STATUS_FOUND)
			.addTokens(ResumedToken.newBuilder().setIndex(1).setEpoch(1).setRunner(""))
			.build()
			.toByteArray());
		assertThat(resume(FIRST)).isDone();
	}

	// Guards against a request without an answer if the position cannot be continued.
	@Example
	void answersARequestForThePositionAfterTheLastPossibleOne() {
		assertThat(resume(new EventId(FIRST.request(), 1, Integer.MAX_VALUE, FIRST.runner()))).isDone();
	}

	// Guards against requests without an answer and damaged replies, whatever fields the
	// owner sends.
	@Property(tries = 300, seed = "33")
	void answersWhateverTheOwnerSends(@ForAll long seed) {
		Random random = new Random(seed);
		ResumedReplyTests local = new ResumedReplyTests();
		local.lastAnswer = SILENT;
		IntStream.range(0, 5).forEach((i) -> local.answers.add(Result.ok(randomAnswer(random))));
		CompletableFuture<Result<OpenReply>> resumed = local.resume(FIRST);
		for (int i = 0; i <= ReplySettings.defaults().defaultTimeout().toSeconds(); i++) {
			local.fixture.advance(1000);
		}
		assertThat(resumed).isDone();
		if (resumed.join() instanceof Result.Ok<OpenReply> ok) {
			ReplyLog log = ok.value().log();
			List<Integer> indexes = log.tokens(1, 1000).stream().map(ReplyToken::index).toList();
			assertThat(log.ended()).isTrue();
			assertThat(indexes).containsExactlyElementsOf(IntStream.rangeClosed(1, indexes.size()).boxed().toList());
		}
	}

	private static byte[] randomAnswer(Random random) {
		byte[] bytes = new byte[random.nextInt(20)];
		random.nextBytes(bytes);
		if (random.nextInt(4) == 0) {
			return bytes;
		}
		ResumeAnswer.Builder answer = ResumeAnswer.newBuilder().setStatusValue(random.nextInt(4));
		for (int i = 0; i < random.nextInt(4); i++) {
			answer.addTokens(ResumedToken.newBuilder()
				.setIndex((random.nextInt(8) == 0) ? random.nextInt() : 1 + random.nextInt(LENGTH))
				.setEpoch((random.nextInt(8) == 0) ? random.nextInt() : 1)
				.setRunner((random.nextInt(8) == 0) ? "" : "r1")
				.setText("t")
				.setFinishReason((random.nextInt(4) == 0) ? "x" : ""));
		}
		if (random.nextInt(3) == 0) {
			answer.setEnded(true);
		}
		if (random.nextInt(3) == 0) {
			answer.setProblem(ResumeProblem.newBuilder()
				.setKind(random.nextBoolean() ? "REPLY_LOST" : "odd")
				.setOutcome(random.nextBoolean() ? "UNKNOWN" : "odd")
				.setRetryAfterMillis(random.nextLong()));
		}
		return answer.build().toByteArray();
	}

	private CompletableFuture<Result<OpenReply>> resume(EventId last) {
		return this.service.resume(ReplyFixture.CLUB, last).thenApply((result) -> {
			if (result instanceof Result.Ok<OpenReply> ok) {
				ok.value().listener().onReaderAttached();
			}
			return result;
		}).toCompletableFuture();
	}

	private static Result<byte[]> found(int from, int end) {
		ResumeAnswer.Builder answer = ResumeAnswer.newBuilder().setStatus(ResumeAnswer.Status.STATUS_FOUND);
		for (int i = from; i < end; i++) {
			answer.addTokens(ResumedToken.newBuilder().setIndex(i).setEpoch(1).setRunner("r1").setText("t" + i));
		}
		return Result.ok(answer.setEnded(true).build().toByteArray());
	}

	private static void send(FakeStream stream, int index) {
		LayerStep all = new LayerStep(new RunnerId("r1"), new LayerRange(0, 8));
		stream.listener.onToken(new TokenEvent(1, index, "t" + index, List.of(all), index == LENGTH - 1));
		stream.listener.onReadComplete();
	}

	private static ReplyLog log(CompletableFuture<Result<OpenReply>> resumed) {
		return ((Result.Ok<OpenReply>) resumed.join()).value().log();
	}

	private static ProblemKind problem(CompletableFuture<Result<OpenReply>> resumed) {
		return ((Result.Failed<OpenReply>) resumed.join()).problem().kind();
	}

	private static void assertComplete(CompletableFuture<Result<OpenReply>> resumed) {
		assertThat(resumed).isDone();
		ReplyLog log = log(resumed);
		assertThat(log.ended()).isTrue();
		assertThat(log.problem()).isNull();
		assertThat(log.tokens(1, LENGTH)).extracting(ReplyToken::text).containsExactly("t1", "t2", "t3");
	}

	/**
	 * Answers the calls to the owner of the reply.
	 */
	private final class Owner implements PeerNetwork {

		@Override
		public List<Peer> peers() {
			return List.of();
		}

		@Override
		public void broadcast(MessageKind kind, byte[] body) {
		}

		@Override
		public CompletionStage<Result<byte[]>> call(VmId target, MessageKind kind, byte[] body, Duration timeout) {
			Deque<Result<byte[]>> next = ResumedReplyTests.this.answers;
			return CompletableFuture
				.completedFuture(next.isEmpty() ? ResumedReplyTests.this.lastAnswer : next.removeFirst());
		}

		@Override
		public void setReceiver(MessageKind kind, Receiver receiver) {
		}

		@Override
		public void setResponder(MessageKind kind, Responder responder) {
		}

	}

}
