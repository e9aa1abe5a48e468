package io.bilberryvalve.daemon.reply;

import java.time.Clock;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.RequestId;
import org.jspecify.annotations.Nullable;

/**
 * Registry of the replies in progress and of the ended replies that can still be resumed.
 * Ended replies are retained for a limited time and up to a limited number of characters
 * in total; the oldest are evicted first.
 */
final class ReplyRegistry {

	private final Clock clock;

	private final ReplySettings settings;

	private final Map<RequestId, ReplySession> replies = new ConcurrentHashMap<>();

	private final Set<ReplySession> active = ConcurrentHashMap.newKeySet();

	private final Set<ResumedReply> resumed = ConcurrentHashMap.newKeySet();

	private final Queue<RetainedReply> retained = new ConcurrentLinkedQueue<>();

	private final AtomicLong retainedCharacters = new AtomicLong();

	ReplyRegistry(Clock clock, ReplySettings settings) {
		this.clock = clock;
		this.settings = settings;
	}

	void add(ReplySession session) {
		this.replies.put(session.request().id(), session);
		this.active.add(session);
	}

	/**
	 * Replaces an ended reply by its continuation.
	 * @param old the ended reply
	 * @param next its continuation
	 * @return {@code false} if the ended reply was already replaced or evicted
	 */
	boolean replace(ReplySession old, ReplySession next) {
		boolean replaced = this.replies.replace(old.request().id(), old, next);
		if (replaced) {
			this.active.add(next);
		}
		return replaced;
	}

	void add(ResumedReply reply) {
		this.resumed.add(reply);
	}

	void remove(ResumedReply reply) {
		this.resumed.remove(reply);
	}

	/**
	 * Finds a reply of a club.
	 * @param id id of the request
	 * @param club the club
	 * @return the reply, or empty if it is not known or belongs to another club
	 */
	Optional<ReplySession> find(RequestId id, ClubId club) {
		@Nullable ReplySession session = this.replies.get(id);
		return Optional.ofNullable(session).filter((found) -> found.request().caller().club().equals(club));
	}

	boolean contains(RequestId id) {
		return this.replies.containsKey(id);
	}

	void retain(ReplySession session) {
		this.active.remove(session);
		int size = session.log().characters() + session.request().prompt().length();
		this.retainedCharacters.addAndGet(size);
		this.retained.add(new RetainedReply(session, this.clock.instant().plus(this.settings.retention()), size));
		evict();
	}

	/**
	 * Checks the time limits of the replies in progress and evicts expired ones.
	 */
	void tick() {
		this.active.forEach(ReplySession::tick);
		this.resumed.forEach(ResumedReply::tick);
		evict();
	}

	int activeCount() {
		return this.active.size();
	}

	int retainedCount() {
		return this.retained.size();
	}

	private void evict() {
		Instant now = this.clock.instant();
		RetainedReply oldest = this.retained.peek();
		while (oldest != null && (oldest.expiresAt().isBefore(now)
				|| this.retainedCharacters.get() > this.settings.maxRetainedCharacters())) {
			if (this.retained.remove(oldest)) {
				this.retainedCharacters.addAndGet(-oldest.characters());
				this.replies.remove(oldest.session().request().id(), oldest.session());
			}
			oldest = this.retained.peek();
		}
	}

	private record RetainedReply(ReplySession session, Instant expiresAt, int characters) {

	}

}
