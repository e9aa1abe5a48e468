package io.bilberryvalve.policy.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares random sequences of operations with a list of the waiting requests.
 */
class WaitQueueProperties {

	private final WaitQueue<Object> queue = new WaitQueue<>();

	private final Map<Object, RequestDemand> waiting = new IdentityHashMap<>();

	private long now;

	// Guards against requests that are lost, served twice or counted after they left,
	// and against an order that is not that of lateness, class and deadline.
	@Property(tries = 200, seed = "7")
	void noRequestIsLostAndAllAreInOrder(@ForAll long seed) {
		Random random = new Random(seed);
		for (int i = 0; i < 200; i++) {
			this.now += random.nextInt(20);
			switch (random.nextInt(5)) {
				case 0, 1 -> offer(random);
				case 2 -> this.queue.dispatch(this.now, 5, (item) -> random.nextInt(3) == 0).forEach(this::removeOnce);
				case 3 -> this.queue.expire(this.now).forEach(this::removeOnce);
				default -> leave(random);
			}
			assertThat(this.queue.size()).isEqualTo(this.waiting.size());
			assertThat(this.queue.cost())
				.isEqualTo(this.waiting.values().stream().mapToLong(RequestDemand::cost).sum());
			checkOrder();
		}
	}

	private void offer(Random random) {
		Object item = new Object();
		WaitQueue.WaitLimits limits = new WaitQueue.WaitLimits(this.now + random.nextInt(-20, 200),
				this.now + random.nextInt(1, 400));
		RequestDemand demand = new RequestDemand(random.nextInt(-1, 2), "team-" + random.nextInt(3),
				random.nextInt(1, 1000), limits);
		if (this.queue.offer(item, demand, this.now).isEmpty()) {
			this.waiting.put(item, demand);
		}
	}

	private void leave(Random random) {
		if (!this.waiting.isEmpty()) {
			List<Object> items = new ArrayList<>(this.waiting.keySet());
			Object item = items.get(random.nextInt(items.size()));
			assertThat(this.queue.remove(item, this.now)).isTrue();
			assertThat(this.queue.remove(item, this.now)).isFalse();
			removeOnce(item);
		}
	}

	private void removeOnce(Object item) {
		assertThat(this.waiting.remove(item)).isNotNull();
	}

	private void checkOrder() {
		List<RequestDemand> order = this.queue.peek(this.now, Integer.MAX_VALUE)
			.stream()
			.map(this.waiting::get)
			.toList();
		assertThat(order).doesNotContainNull().hasSize(this.waiting.size());
		assertThat(order)
			.isSortedAccordingTo(Comparator.comparing(this::isLate).thenComparing(RequestDemand::priority));
		for (int team = 0; team < 3; team++) {
			String name = "team-" + team;
			assertThat(order.stream().filter((demand) -> demand.team().equals(name)))
				.isSortedAccordingTo(Comparator.comparing(this::isLate)
					.thenComparing(RequestDemand::priority)
					.thenComparing((demand) -> demand.limits().onTimeUntil()));
		}
	}

	private boolean isLate(RequestDemand demand) {
		return this.now >= demand.limits().onTimeUntil();
	}

}
