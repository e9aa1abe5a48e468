package io.bilberryvalve.policy.once;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Keys issued by one incarnation of an entry, which alone may dispatch them. They need no
 * store. A key that this incarnation no longer knows is never dispatched. An instance is
 * not safe for use by several threads.
 */
public final class IssuedKeyRegistry {

	/** Prefix of issued keys; caller-chosen keys must not start with it. */
	public static final String PREFIX = "issued.";

	/** Time within which an issued key must be used first. */
	public static final Duration LIFETIME = Duration.ofMinutes(10);

	/** Characters of results in memory; the oldest results are dropped first. */
	static final long MAX_RESULT_CHARS = 8 << 20;

	private final VmId vm;

	private final long incarnation;

	private final Clock clock;

	private final LongSupplier nonces;

	private final int capacity;

	private final Map<String, IssuedKey> keys = new LinkedHashMap<>();

	private long sequence;

	private long resultLength;

	/**
	 * Creates the keys of an incarnation.
	 * @param vm the VM of the entry
	 * @param incarnation incarnation of its daemon
	 * @param clock monotonic clock
	 * @param nonces unpredictable numbers, so that a key cannot be guessed
	 * @param capacity largest number of keys in memory
	 */
	public IssuedKeyRegistry(VmId vm, long incarnation, Clock clock, LongSupplier nonces, int capacity) {
		this.vm = vm;
		this.incarnation = incarnation;
		this.clock = clock;
		this.nonces = nonces;
		this.capacity = capacity;
	}

	/**
	 * Finds the issuer of a key.
	 * @param key the key
	 * @return the VM, or nothing if the key was not issued by an entry
	 */
	public static Optional<VmId> issuer(String key) {
		return parseRequestId(key).map(RequestId::entry);
	}

	private static Optional<RequestId> parseRequestId(String key) {
		int end = key.lastIndexOf('_');
		if (!key.startsWith(PREFIX) || end < PREFIX.length()) {
			return Optional.empty();
		}
		try {
			return Optional.of(RequestId.parse(key.substring(PREFIX.length(), end)));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Issues a key.
	 * @param club club that may use it
	 * @return the key, or nothing if too many keys are in memory
	 */
	public Optional<String> issue(ClubId club) {
		Instant now = this.clock.instant();
		forgetOld(now);
		if (this.keys.size() >= this.capacity) {
			return Optional.empty();
		}
		RequestId id = new RequestId(this.vm, this.incarnation, this.sequence++);
		String key = PREFIX + id + "_" + Long.toHexString(this.nonces.getAsLong());
		this.keys.put(key, new IssuedKey(club, now.plus(LIFETIME)));
		return Optional.of(key);
	}

	/**
	 * Decides about a call. After {@link Decision#DISPATCH} the caller must report the
	 * end of the dispatch with {@link #dispatchEnded}.
	 * @param key the key
	 * @param club club of the caller
	 * @param requestDigest digest of the request
	 * @return the decision
	 */
	public Decision decide(String key, ClubId club, String requestDigest) {
		IssuedKey use = this.keys.get(key);
		if (use == null) {
			return Decision.UNKNOWN;
		}
		if (!use.club.equals(club)) {
			return Decision.FOREIGN;
		}
		if (use.digest != null && !use.digest.equals(requestDigest)) {
			return Decision.KEY_REUSED;
		}
		return decide(use, requestDigest);
	}

	private Decision decide(IssuedKey use, String requestDigest) {
		switch (use.state) {
			case ISSUED:
				if (!use.forgetAt.isAfter(this.clock.instant())) {
					return Decision.EXPIRED;
				}
				use.digest = requestDigest;
				use.state = State.DISPATCHED;
				return Decision.DISPATCH;
			case COMPLETED:
				return Decision.COMPLETED;
			case DISPATCHED:
				return Decision.IN_PROGRESS;
			default:
				return Decision.LOST;
		}
	}

	/**
	 * Takes the end of a dispatch.
	 * @param key the key
	 * @param end how the dispatch ended
	 */
	public void dispatchEnded(String key, DispatchResult end) {
		IssuedKey use = this.keys.get(key);
		if (use == null || use.state != State.DISPATCHED) {
			return;
		}
		use.forgetAt = this.clock.instant().plus(LIFETIME);
		if (end instanceof DispatchResult.Replied replied) {
			use.state = State.COMPLETED;
			use.result = replied.result();
			this.resultLength += replied.result().length();
			dropOldResults();
		}
		else if (end instanceof DispatchResult.NotSent) {
			use.state = State.ISSUED;
		}
		else {
			use.state = State.LOST;
		}
	}

	/**
	 * Returns the result of a completed key.
	 * @param key the key
	 * @return the result, or {@code null} if there is none or it was dropped
	 */
	public @Nullable String result(String key) {
		IssuedKey use = this.keys.get(key);
		return (use != null) ? use.result : null;
	}

	/**
	 * Returns the number of keys in memory.
	 * @return the number
	 */
	public int size() {
		return this.keys.size();
	}

	private void dropOldResults() {
		for (IssuedKey use : this.keys.values()) {
			if (this.resultLength <= MAX_RESULT_CHARS) {
				return;
			}
			dropResult(use);
		}
	}

	private void dropResult(IssuedKey use) {
		if (use.result != null) {
			this.resultLength -= use.result.length();
			use.result = null;
		}
	}

	private void forgetOld(Instant now) {
		Iterator<IssuedKey> iterator = this.keys.values().iterator();
		while (iterator.hasNext()) {
			IssuedKey use = iterator.next();
			if (use.state != State.DISPATCHED && !use.forgetAt.isAfter(now)) {
				iterator.remove();
				dropResult(use);
			}
			else if (this.keys.size() < this.capacity) {
				return;
			}
		}
	}

	/**
	 * Decision about a call with an issued key.
	 */
	public enum Decision {

		/** Dispatch the call. */
		DISPATCH,

		/** An earlier call is in progress. */
		IN_PROGRESS,

		/** An earlier call has a result. */
		COMPLETED,

		/** An earlier call was dispatched and its answer was lost. */
		LOST,

		/** The key belongs to a different request. */
		KEY_REUSED,

		/** The key belongs to another club. */
		FOREIGN,

		/** The key was not used in time; nothing ran. */
		EXPIRED,

		/** This incarnation does not know the key; it may have run. */
		UNKNOWN

	}

	private enum State {

		ISSUED, DISPATCHED, COMPLETED, LOST

	}

	private static final class IssuedKey {

		private final ClubId club;

		private Instant forgetAt;

		private State state = State.ISSUED;

		private @Nullable String digest;

		private @Nullable String result;

		IssuedKey(ClubId club, Instant forgetAt) {
			this.club = club;
			this.forgetAt = forgetAt;
		}

	}

}
