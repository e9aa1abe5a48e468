package io.bilberryvalve.daemon.share;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.daemon.peer.IsolatedPeerNetwork;
import io.bilberryvalve.daemon.share.AdmissionControl.AdmissionRequest;
import io.bilberryvalve.daemon.share.AdmissionControl.Permit;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.share.Capacity;
import io.bilberryvalve.policy.share.QueueLimits;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class FairAdmissionConcurrencyTests {

	private static final int STREAMS = 4;

	private final FairAdmission admission = new FairAdmission(new VmId("vm-0"), 1, () -> new Capacity(STREAMS, 0),
			new ConfigurationHolder(), new IsolatedPeerNetwork(), new QueueLimits(100_000, 100_000), new ManualClock());

	// Guards against requests that are never answered, start twice or exceed the limit
	// when several threads request and release permits at the same time.
	@Example
	void concurrentRequestsAllRunWithinLimit() {
		this.admission.tick();
		AtomicInteger running = new AtomicInteger();
		AtomicInteger highest = new AtomicInteger();
		AtomicInteger ended = new AtomicInteger();
		CompletableFuture<?>[] threads = IntStream.range(0, 8).mapToObj((thread) -> CompletableFuture.runAsync(() -> {
			for (int i = 0; i < 2000; i++) {
				request(thread % 3).thenAcceptAsync((result) -> {
					highest.accumulateAndGet(running.incrementAndGet(), Math::max);
					running.decrementAndGet();
					ended.incrementAndGet();
					((Result.Ok<Permit>) result).value().release(5);
				}).join();
			}
		}, (task) -> new Thread(task).start())).toArray(CompletableFuture<?>[]::new);
		CompletableFuture.allOf(threads).join();
		assertThat(ended).hasValue(16_000);
		assertThat(highest.get()).isBetween(1, STREAMS);
		assertThat(this.admission.status().running()).isZero();
		assertThat(this.admission.status().admitted()).isEqualTo(16_000);
	}

	// Guards against a stack overflow when many waiting requests are admitted at once and
	// each of them releases its permit immediately.
	@Example
	void manyRequestsEndingAtOnceDoNotOverflowTheStack() {
		AtomicInteger ended = new AtomicInteger();
		for (int i = 0; i < 50_000; i++) {
			request(0).thenAccept((result) -> {
				ended.incrementAndGet();
				((Result.Ok<Permit>) result).value().release(5);
			});
		}
		this.admission.tick();
		assertThat(ended).hasValue(50_000);
	}

	// Guards against a waiting request that takes a stream although its caller has
	// disconnected.
	@Example
	void cancelledRequestLeavesTheQueue() {
		CompletableFuture<Result<Permit>> cancelled = request(0);
		cancelled.cancel(false);
		assertThat(this.admission.status().waiting()).isZero();
		this.admission.tick();
		assertThat(this.admission.status().running()).isZero();
	}

	private CompletableFuture<Result<Permit>> request(int team) {
		return this.admission
			.admit(new AdmissionRequest(new ClubId("a"), new TeamId("t" + team), 10, 0, Duration.ofMinutes(1)))
			.toCompletableFuture();
	}

}
