package io.bilberryvalve.policy.once;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a second dispatch with an issued key, also after the entry that issued
 * it has restarted or has dropped it from memory.
 */
class IssuedKeysProperties {

	private static final ClubId CLUB = new ClubId("pavio");

	private static final int CAPACITY = 8;

	private final ManualClock clock = new ManualClock();

	private long incarnation;

	private IssuedKeys keys = start();

	private IssuedKeys start() {
		return new IssuedKeys(new VmId("pav-1"), this.incarnation++, this.clock, () -> 42, CAPACITY);
	}

	@Property(seed = "5503")
	void dispatchesEachKeyAtMostOnce(@ForAll @Size(max = 60) List<@IntRange(max = 999) Integer> steps) {
		List<String> issued = new ArrayList<>();
		Set<String> inDispatch = new HashSet<>();
		Set<String> mayHaveRun = new HashSet<>();
		for (int step : steps) {
			String key = issued.isEmpty() ? "issued.pav-1_0_0_2a" : issued.get(step / 10 % issued.size());
			switch (step % 10) {
				case 0, 1, 2 -> this.keys.issue(CLUB).ifPresent(issued::add);
				case 3, 4, 5 -> {
					if (this.keys.decide(key, CLUB, "digest") == IssuedKeys.Decision.DISPATCH) {
						assertThat(mayHaveRun).doesNotContain(key);
						mayHaveRun.add(key);
						inDispatch.add(key);
					}
				}
				case 6 -> end(key, new DispatchResult.Replied("r"), inDispatch);
				case 7 -> end(key, new DispatchResult.Lost(), inDispatch);
				case 8 -> {
					if (end(key, new DispatchResult.NotSent(), inDispatch)) {
						mayHaveRun.remove(key);
					}
				}
				default -> restartOrWait(step, inDispatch);
			}
			assertThat(this.keys.size()).isLessThanOrEqualTo(CAPACITY);
		}
	}

	private boolean end(String key, DispatchResult end, Set<String> inDispatch) {
		boolean active = inDispatch.remove(key);
		if (active) {
			this.keys.dispatchEnded(key, end);
		}
		return active;
	}

	private void restartOrWait(int step, Set<String> inDispatch) {
		if (step > 800) {
			inDispatch.clear();
			this.keys = start();
		}
		else {
			this.clock.advance(Duration.ofMinutes(step % 7));
		}
	}

	@Example
	void refusesOtherClubsOtherRequestsAndExpiredKeys() {
		String first = this.keys.issue(CLUB).orElseThrow();
		assertThat(this.keys.decide(first, new ClubId("klokhuis"), "a")).isEqualTo(IssuedKeys.Decision.FOREIGN);
		assertThat(this.keys.decide(first, CLUB, "a")).isEqualTo(IssuedKeys.Decision.DISPATCH);
		assertThat(this.keys.decide(first, CLUB, "b")).isEqualTo(IssuedKeys.Decision.KEY_REUSED);
		String second = this.keys.issue(CLUB).orElseThrow();
		this.clock.advance(IssuedKeys.LIFETIME);
		assertThat(this.keys.decide(second, CLUB, "a")).isEqualTo(IssuedKeys.Decision.EXPIRED);
		assertThat(IssuedKeys.issuer(second)).contains(new VmId("pav-1"));
		assertThat(IssuedKeys.issuer("order-17")).isEmpty();
	}

	// Guards against results that use up the memory of the entry.
	@Example
	void dropsOldestResultsBeyondBound() {
		String large = "x".repeat((int) IssuedKeys.MAX_RESULT_CHARS / 2 + 1);
		List<String> issued = List.of(this.keys.issue(CLUB).orElseThrow(), this.keys.issue(CLUB).orElseThrow());
		for (String key : issued) {
			this.keys.decide(key, CLUB, "a");
			this.keys.dispatchEnded(key, new DispatchResult.Replied(large));
			assertThat(this.keys.decide(key, CLUB, "a")).isEqualTo(IssuedKeys.Decision.COMPLETED);
		}
		assertThat(this.keys.result(issued.get(0))).isNull();
		assertThat(this.keys.result(issued.get(1))).isEqualTo(large);
	}

}
