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
 * Replies in progress, and ended ones that can still be resumed. Ended replies are kept
 * for a limited time and a limited number of characters; the oldest go first.
 */
final class ReplyRegistry {

	private final Clock clock;

	private final ReplySettings settings;

	private final Map<RequestId, ReplySession> replies = new ConcurrentHashMap<>();

	private final Set<ReplySession> active = ConcurrentHashMap.newKeySet();

	private final Set<ResumedReply> resumed = ConcurrentHashMap.newKeySet();

	private final Queue<Ended> ended = new ConcurrentLinkedQueue<>();

	private final AtomicLong characters = new AtomicLong();

	ReplyRegistry(Clock clock, ReplySettings settings) {
		this.clock = clock;
		this.settings = settings;
	}

	void add(ReplySession session) {
		this.replies.put(session.order().id(), session);
		this.active.add(session);
	}

	/**
	 * Replaces an ended reply by its continuation.
	 * @param old the ended reply
	 * @param next its continuation
	 * @return whether the old reply was still in place
	 */
	boolean replace(ReplySession old, ReplySession next) {
		boolean replaced = this.replies.replace(old.order().id(), old, next);
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
	 * @param id the request
	 * @param club the club
	 * @return the reply, or empty if it is not known or belongs to another club
	 */
	Optional<ReplySession> find(RequestId id, ClubId club) {
		@Nullable ReplySession session = this.replies.get(id);
		return Optional.ofNullable(session).filter((found) -> found.order().caller().club().equals(club));
	}

	boolean known(RequestId id) {
		return this.replies.containsKey(id);
	}

	void ended(ReplySession session) {
		this.active.remove(session);
		int size = session.log().characters() + session.order().prompt().length();
		this.characters.addAndGet(size);
		this.ended.add(new Ended(session, this.clock.instant().plus(this.settings.retention()), size));
		evict();
	}

	/**
	 * Checks the time limits of replies and forgets old ones.
	 */
	void tick() {
		this.active.forEach(ReplySession::tick);
		this.resumed.forEach(ResumedReply::tick);
		evict();
	}

	int active() {
		return this.active.size();
	}

	int retained() {
		return this.ended.size();
	}

	private void evict() {
		Instant now = this.clock.instant();
		Ended oldest = this.ended.peek();
		while (oldest != null
				&& (oldest.until().isBefore(now) || this.characters.get() > this.settings.retainedCharacters())) {
			if (this.ended.remove(oldest)) {
				this.characters.addAndGet(-oldest.size());
				this.replies.remove(oldest.session().order().id(), oldest.session());
			}
			oldest = this.ended.peek();
		}
	}

	private record Ended(ReplySession session, Instant until, int size) {

	}

}
