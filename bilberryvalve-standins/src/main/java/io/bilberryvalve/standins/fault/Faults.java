package io.bilberryvalve.standins.fault;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

/**
 * The faults in force in a stand-in.
 */
public final class Faults {

	private final Clock clock;

	private volatile State state;

	/**
	 * Creates faults with none in force.
	 * @param clock measures the time in which connections are refused
	 */
	public Faults(Clock clock) {
		this.clock = clock;
		this.state = new State(FaultSettings.none(), clock.instant());
	}

	/**
	 * Replaces the faults in force.
	 * @param settings the new faults
	 * @return these faults
	 */
	public Faults replace(FaultSettings settings) {
		this.state = new State(settings, this.clock.instant());
		return this;
	}

	/**
	 * Returns the settings in force, with the counts as they were set.
	 * @return the settings
	 */
	public FaultSettings settings() {
		return this.state.settings;
	}

	/**
	 * Tells whether a service is out.
	 * @param service the service
	 * @return whether it answers 503
	 */
	public boolean out(Service service) {
		return this.state.settings.outages().contains(service);
	}

	/**
	 * Returns the delay of the answers of a service.
	 * @param service the service
	 * @return the delay, zero for none
	 */
	public Duration delay(Service service) {
		for (FaultSettings.Delay delay : this.state.settings.delays()) {
			if (delay.service() == service) {
				return Duration.ofMillis(delay.millis());
			}
		}
		return Duration.ZERO;
	}

	/**
	 * Takes one of the answers to be lost.
	 * @param service the service
	 * @return whether the answer is lost
	 */
	public boolean takeLostAnswer(Service service) {
		AtomicInteger count = this.state.lostAnswers.get(service);
		return count != null && take(count);
	}

	/**
	 * Tells whether a new connection is refused.
	 * @return whether it is refused
	 */
	public boolean refusing() {
		return this.clock.instant().isBefore(this.state.refuseUntil);
	}

	/**
	 * Tells whether no request is answered.
	 * @return whether the stand-in is silent
	 */
	public boolean silent() {
		return this.state.settings.silent();
	}

	/**
	 * Counts an executed token position.
	 * @return whether the process halts now
	 */
	public boolean countExecution() {
		return reached(this.state.untilStop);
	}

	/**
	 * Counts a token sent on a reply stream.
	 * @return whether the stream stalls instead of sending it
	 */
	public boolean countToken() {
		AtomicInteger left = this.state.untilStall;
		return left != null && left.getAndDecrement() <= 0;
	}

	/**
	 * Tells whether reply streams have stalled.
	 * @return whether they send neither tokens nor keep-alives
	 */
	public boolean stalled() {
		AtomicInteger left = this.state.untilStall;
		return left != null && left.get() <= 0;
	}

	/**
	 * Returns the delay of the links to other stages.
	 * @return the delay, zero for none
	 */
	public Duration linkDelay() {
		return Duration.ofMillis(this.state.settings.linkDelayMillis());
	}

	private static boolean reached(@Nullable AtomicInteger left) {
		return left != null && left.decrementAndGet() <= 0;
	}

	private static boolean take(AtomicInteger left) {
		return left.getAndUpdate((n) -> Math.max(0, n - 1)) > 0;
	}

	private static final class State {

		private final FaultSettings settings;

		private final Instant refuseUntil;

		private final Map<Service, AtomicInteger> lostAnswers = new EnumMap<>(Service.class);

		private final @Nullable AtomicInteger untilStop;

		private final @Nullable AtomicInteger untilStall;

		State(FaultSettings settings, Instant now) {
			this.settings = settings;
			this.refuseUntil = now.plusMillis(settings.refuseConnectionsMillis());
			for (FaultSettings.LostAnswers lost : settings.loseAnswers()) {
				this.lostAnswers.put(lost.service(), new AtomicInteger(lost.count()));
			}
			this.untilStop = counter(settings.stopAfterTokens());
			this.untilStall = counter(settings.stallAfterTokens());
		}

		private static @Nullable AtomicInteger counter(@Nullable Integer count) {
			return (count != null) ? new AtomicInteger(count) : null;
		}

	}

}
