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
 * Registry of the idempotency keys issued by one incarnation of an entry. Only this
 * incarnation may dispatch calls with them, so they are kept in memory and need no table
 * service. A call whose key this incarnation no longer knows is never dispatched. An
 * instance is not safe for use by several threads.
 */
public final class IssuedKeys {

	/** Prefix of issued keys; caller-chosen keys must not start with it. */
	public static final String PREFIX = "issued.";

	/**
	 * Time within which an issued key must be used, and the least time for which it stays
	 * in memory after its dispatch has ended.
	 */
	public static final Duration LIFETIME = Duration.ofMinutes(10);

	/**
	 * Largest total length of the results in memory, in characters; the results of the
	 * keys issued first are dropped first.
	 */
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
	 * Creates a registry without keys.
	 * @param vm the VM of the entry, contained in its keys
	 * @param incarnation number of this run of its daemon, contained in its keys
	 * @param clock monotonic clock
	 * @param nonces source of unpredictable numbers, so that a key cannot be guessed
	 * @param capacity largest number of keys in memory
	 */
	public IssuedKeys(VmId vm, long incarnation, Clock clock, LongSupplier nonces, int capacity) {
		this.vm = vm;
		this.incarnation = incarnation;
		this.clock = clock;
		this.nonces = nonces;
		this.capacity = capacity;
	}

	/**
	 * Finds the entry that issued a key.
	 * @param key an issued key or one chosen by a caller
	 * @return the VM of the entry, or empty if the key does not have the form of an
	 * issued key
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
	 * @param club only club whose callers may use the key
	 * @return the key, or empty if the memory is full of keys
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
	 * Decides what happens to a call. After {@link Decision#DISPATCH} the result of the
	 * dispatch must be reported with {@link #dispatchEnded}.
	 * @param key key sent with the call
	 * @param club club of the caller
	 * @param requestDigest digest by which a different request with the same key is
	 * recognised
	 * @return whether to dispatch the call, or why not
	 */
	public Decision decide(String key, ClubId club, String requestDigest) {
		IssuedKey issued = this.keys.get(key);
		if (issued == null) {
			return Decision.UNKNOWN;
		}
		if (!issued.club.equals(club)) {
			return Decision.FOREIGN;
		}
		if (issued.digest != null && !issued.digest.equals(requestDigest)) {
			return Decision.KEY_REUSED;
		}
		return decide(issued, requestDigest);
	}

	private Decision decide(IssuedKey issued, String requestDigest) {
		switch (issued.state) {
			case ISSUED:
				if (!issued.forgetAt.isAfter(this.clock.instant())) {
					return Decision.EXPIRED;
				}
				issued.digest = requestDigest;
				issued.state = State.DISPATCHED;
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
	 * Records the result of a dispatch. A key whose request was not sent can be used
	 * again.
	 * @param key key of the dispatched call
	 * @param result whether the request was sent and answered
	 */
	public void dispatchEnded(String key, DispatchResult result) {
		IssuedKey issued = this.keys.get(key);
		if (issued == null || issued.state != State.DISPATCHED) {
			return;
		}
		issued.forgetAt = this.clock.instant().plus(LIFETIME);
		if (result instanceof DispatchResult.Replied replied) {
			issued.state = State.COMPLETED;
			issued.result = replied.result();
			this.resultLength += replied.result().length();
			dropOldResults();
		}
		else if (result instanceof DispatchResult.NotSent) {
			issued.state = State.ISSUED;
		}
		else {
			issued.state = State.LOST;
		}
	}

	/**
	 * Returns the result of the call that was run with a key.
	 * @param key key of the call
	 * @return encoded answer of the upstream, or {@code null} if there is none or it was
	 * dropped to save memory
	 */
	public @Nullable String result(String key) {
		IssuedKey issued = this.keys.get(key);
		return (issued != null) ? issued.result : null;
	}

	/**
	 * Returns the number of keys in memory.
	 * @return number of keys, at most the capacity
	 */
	public int size() {
		return this.keys.size();
	}

	private void dropOldResults() {
		for (IssuedKey issued : this.keys.values()) {
			if (this.resultLength <= MAX_RESULT_CHARS) {
				return;
			}
			dropResult(issued);
		}
	}

	private void dropResult(IssuedKey issued) {
		if (issued.result != null) {
			this.resultLength -= issued.result.length();
			issued.result = null;
		}
	}

	private void forgetOld(Instant now) {
		Iterator<IssuedKey> iterator = this.keys.values().iterator();
		while (iterator.hasNext()) {
			IssuedKey issued = iterator.next();
			if (issued.state != State.DISPATCHED && !issued.forgetAt.isAfter(now)) {
				iterator.remove();
				dropResult(issued);
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

		/** An earlier call with the key is in progress. */
		IN_PROGRESS,

		/** An earlier call with the key was run; its result may have been dropped. */
		COMPLETED,

		/** An earlier call with the key was dispatched and its answer was lost. */
		LOST,

		/** The key was already used for a different request. */
		KEY_REUSED,

		/** The key was issued to another club. */
		FOREIGN,

		/** The key was not used within its lifetime, and no call was run with it. */
		EXPIRED,

		/** This incarnation does not know the key; a call may have been run with it. */
		UNKNOWN

	}

	private enum State {

		ISSUED, DISPATCHED, COMPLETED, LOST

	}

	/**
	 * An issued key in memory.
	 */
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
