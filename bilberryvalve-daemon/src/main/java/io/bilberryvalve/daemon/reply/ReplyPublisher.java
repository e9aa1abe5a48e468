package io.bilberryvalve.daemon.reply;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.RequestId;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.PublisherSource;
import org.jspecify.annotations.Nullable;

/**
 * Publishes the tokens of a {@link ReplyLog} to one subscriber as server-sent events, as
 * fast as the subscriber requests them. It buffers no tokens. One thread at a time emits;
 * other threads only tell it that there is more to do.
 */
final class ReplyPublisher implements PublisherSource<Buffer>, PublisherSource.Subscription {

	private final RequestId request;

	private final ReplyLog log;

	private final ReplyReaderListener listener;

	private final Runnable drainTask = this::drain;

	private final AtomicLong demand = new AtomicLong();

	private final AtomicInteger pending = new AtomicInteger();

	private final AtomicBoolean detached = new AtomicBoolean();

	private volatile @Nullable Subscriber<? super Buffer> subscriber;

	private int nextIndex;

	ReplyPublisher(RequestId request, ReplyLog log, int from, ReplyReaderListener listener) {
		this.request = request;
		this.log = log;
		this.nextIndex = from;
		this.listener = listener;
	}

	@Override
	public void subscribe(Subscriber<? super Buffer> target) {
		if (this.subscriber != null) {
			throw new IllegalStateException("a reply publisher allows only one subscriber");
		}
		this.listener.onReaderAttached();
		target.onSubscribe(this);
		this.subscriber = target;
		this.log.addListener(this.drainTask);
		drain();
	}

	@Override
	public void request(long n) {
		this.demand.accumulateAndGet(Math.max(n, 1), (a, b) -> (a + b < 0) ? Long.MAX_VALUE : a + b);
		drain();
	}

	@Override
	public void cancel() {
		detach();
	}

	private void drain() {
		if (this.subscriber == null || this.pending.getAndIncrement() > 0) {
			return;
		}
		int missed = 1;
		while (missed > 0) {
			emitAvailable(this.subscriber);
			missed = this.pending.addAndGet(-missed);
		}
	}

	private void emitAvailable(Subscriber<? super Buffer> target) {
		int before = this.nextIndex;
		while (!this.detached.get() && this.nextIndex < this.log.nextIndex() && this.demand.get() > 0) {
			ReplyToken token = this.log.token(this.nextIndex++);
			emitEvent(target, ReplyEvents.token(this.request, token));
		}
		if (this.nextIndex > before) {
			this.listener.onRead(this.nextIndex);
		}
		// The end must be read before the number of tokens: all tokens are appended
		// before the end is set, so none is missed.
		boolean ended = this.log.ended();
		if (ended && !this.detached.get() && this.nextIndex == this.log.nextIndex() && this.demand.get() > 0) {
			Problem problem = this.log.problem();
			emitEvent(target, (problem != null) ? ReplyEvents.problem(problem) : ReplyEvents.DONE);
			detach();
			target.onComplete();
		}
	}

	private void emitEvent(Subscriber<? super Buffer> target, String event) {
		this.demand.decrementAndGet();
		target.onNext(BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(event));
	}

	private void detach() {
		if (this.detached.compareAndSet(false, true)) {
			this.log.removeListener(this.drainTask);
			this.listener.onReaderDetached();
		}
	}

}
