package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.daemon.peer.MessageKind;
import io.bilberryvalve.daemon.peer.Peer;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.EventId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.VmId;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ResumeServiceTests {

	private static final VmId OTHER = new VmId("pav-2");

	private final Map<VmId, PeerNetwork.Responder> answerers = new HashMap<>();

	private final ReplyFixture owner = new ReplyFixture();

	private final ReplyFixture entry = new ReplyFixture();

	private final ResumeService atOwner = service(this.owner, ReplyFixture.SELF);

	private final ResumeService atEntry = service(this.entry, OTHER);

	// Guards against a reply that another entry repeats, shortens or lets end early.
	@Example
	void continuesARunningReplyAtAnotherEntry() {
		ReplySession session = this.owner.started(6);
		this.owner.engines.last().tokens(0, 3, 6);
		OpenReply reply = opened(this.atEntry.resume(ReplyFixture.CLUB, event(session, 0)));
		this.owner.engines.last().tokens(3, 6, 6);
		tick();
		assertThat(indexes(reply)).containsExactly(1, 2, 3, 4, 5);
		assertThat(reply.log().ended()).isTrue();
		assertThat(reply.log().problem()).isNull();
	}

	// Guards against losing a reply when the connection to its owner breaks.
	@Example
	void restartsAReplyThatItsOwnerGaveUp() {
		ReplySession session = this.owner.started(4);
		this.owner.engines.last().tokens(0, 2, 4);
		session.left();
		CompletionStage<Result<OpenReply>> resumed = this.atEntry.resume(ReplyFixture.CLUB, event(session, 1));
		assertThat(this.owner.engines.last().order.epoch()).isEqualTo(2);
		this.owner.engines.last().tokens(2, 4, 4);
		tick();
		OpenReply reply = opened(resumed);
		assertThat(indexes(reply)).containsExactly(2, 3);
		assertThat(reply.log().problem()).isNull();
	}

	// Guards against one club reading the reply of another.
	@Example
	void refusesAnotherClub() {
		ReplySession session = this.owner.started(2);
		this.owner.engines.last().tokens(0, 2, 2);
		ClubId stranger = new ClubId("klokhuis");
		assertThat(problem(this.atOwner.resume(stranger, event(session, 0)))).isEqualTo(ProblemKind.REPLY_LOST);
		assertThat(problem(this.atEntry.resume(stranger, event(session, 0)))).isEqualTo(ProblemKind.REPLY_LOST);
		assertThat(this.entry.engines.calls).containsExactly("resume " + runnerAddress(session) + " 1 klokhuis");
	}

	// Guards against keeping ended replies for ever, and against forgetting them early.
	@Example
	void keepsAnEndedReplyForAMinute() {
		ReplySession session = this.owner.started(2);
		this.owner.engines.last().tokens(0, 2, 2);
		this.owner.advance(59_000);
		assertThat(indexes(opened(this.atOwner.resume(ReplyFixture.CLUB, event(session, 0))))).contains(1);
		this.owner.advance(2_000);
		assertThat(this.owner.registry.find(session.order().id(), ReplyFixture.CLUB)).isEmpty();
	}

	private void tick() {
		this.owner.registry.tick();
		this.entry.registry.tick();
	}

	private ResumeService service(ReplyFixture fixture, VmId self) {
		return new ResumeService(fixture.services, fixture.registry, new Network(self),
				new PipelineIndex(fixture.configuration), self);
	}

	private static EventId event(ReplySession session, int index) {
		ReplyToken token = session.log().token(index);
		return new EventId(session.order().id(), token.epoch(), index, token.runner());
	}

	private static String runnerAddress(ReplySession session) {
		RunnerId runner = session.log().token(0).runner();
		return "127.0.0.1:" + runner.value().substring(1);
	}

	private static List<Integer> indexes(OpenReply reply) {
		return reply.log().tokens(reply.log().base(), 100).stream().map(ReplyToken::index).toList();
	}

	private static OpenReply opened(CompletionStage<Result<OpenReply>> result) {
		return ((Result.Ok<OpenReply>) now(result)).value();
	}

	private static ProblemKind problem(CompletionStage<Result<OpenReply>> result) {
		return ((Result.Failed<OpenReply>) now(result)).problem().kind();
	}

	private static Result<OpenReply> now(CompletionStage<Result<OpenReply>> result) {
		assertThat(result.toCompletableFuture()).isDone();
		return result.toCompletableFuture().join();
	}

	/**
	 * Passes calls between the entries of the test.
	 */
	private final class Network implements PeerNetwork {

		private final VmId self;

		Network(VmId self) {
			this.self = self;
		}

		@Override
		public List<Peer> peers() {
			return new ArrayList<>();
		}

		@Override
		public void broadcast(MessageKind kind, byte[] body) {
		}

		@Override
		public CompletionStage<Result<byte[]>> call(VmId target, MessageKind kind, byte[] body, Duration timeout) {
			Responder answerer = ResumeServiceTests.this.answerers.get(target);
			if (answerer == null) {
				return CompletableFuture
					.completedFuture(Result.failed(Problem.notRun(ProblemKind.UNAVAILABLE, "not connected", "repeat")));
			}
			return answerer.respond(this.self, body).thenApply(Result::ok);
		}

		@Override
		public void setReceiver(MessageKind kind, Receiver receiver) {
		}

		@Override
		public void setResponder(MessageKind kind, Responder answerer) {
			ResumeServiceTests.this.answerers.put(this.self, answerer);
		}

	}

}
