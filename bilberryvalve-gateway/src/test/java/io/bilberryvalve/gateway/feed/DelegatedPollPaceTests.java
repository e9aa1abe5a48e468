package io.bilberryvalve.gateway.feed;

import java.time.Duration;

import io.bilberryvalve.platform.watch.PollPace;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class DelegatedPollPaceTests {

	private static final PollPace ALONE = new PollPace() {

		@Override
		public Duration longestWait() {
			return Duration.ofSeconds(8);
		}

		@Override
		public Duration delayAfterChange() {
			return Duration.ofMillis(120);
		}

	};

	private static PollPace pace(RowReading reading, Duration bound) {
		return new DelegatedPollPace(() -> reading, ALONE, bound);
	}

	// Guards against any change of small fleets.
	@Example
	void daemonThatReadsForItselfKeepsItsPace() {
		PollPace pace = pace(RowReading.ALONE, Duration.ofSeconds(3));
		assertThat(pace.longestWait()).isEqualTo(ALONE.longestWait());
		assertThat(pace.delayAfterChange()).isEqualTo(ALONE.delayAfterChange());
	}

	// Guards against rows of a quiet table that followers find too old.
	@Example
	void delegateHearsFromTheStoreMoreOftenThanRowsGetOld() {
		PollPace pace = pace(RowReading.FOR_OTHERS, Duration.ofSeconds(3));
		assertThat(pace.longestWait().plusMillis(300)).isLessThan(TableSource.MAX_AGE);
		assertThat(pace.delayAfterChange()).isEqualTo(Duration.ofMillis(250));
	}

	// Guards against a lost delegate that is noticed too late to read the store in time.
	@Example
	void followerNoticesTwoLostDelegatesWithinTheBound() {
		for (int seconds = 2; seconds <= 3; seconds++) {
			Duration bound = Duration.ofSeconds(seconds);
			PollPace pace = pace(RowReading.FROM_DELEGATE, bound);
			Duration noticed = pace.longestWait().plus(RelayedTableFeed.REPLY_MARGIN.multipliedBy(2));
			assertThat(noticed.plusMillis(300)).isLessThan(bound);
		}
	}

	// Guards against polls that do not wait, one after the other.
	@Example
	void pollsWaitAlsoIfThereIsNoBound() {
		PollPace pace = pace(RowReading.FROM_DELEGATE, Duration.ZERO);
		assertThat(pace.longestWait()).isPositive();
		assertThat(pace.delayAfterChange()).isPositive();
	}

}
