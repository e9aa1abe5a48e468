package io.bilberryvalve.gateway.peer;

import java.util.List;
import java.util.Random;

import io.bilberryvalve.gateway.peer.SimulatedFleet.Node;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class StateProtocolProperties {

	/**
	 * Time after which all loads are known again: digests and states from before have
	 * expired (2.5 s each), and delegates have changed once (1.1 s and 0.6 s).
	 */
	private static final long SETTLED_MILLIS = 7000;

	// Guards against sums that drift away from the truth by lost, late and reordered
	// datagrams, by restarts and by daemons that differ in their delegates.
	@Property(tries = 12, seed = "31415926")
	void countedLoadIsTheTruthOnceMessagesFlowAgain(@ForAll Random random) {
		SimulatedFleet fleet = SimulatedFleet.of(random, 13 + random.nextInt(12));
		fleet.disturb(random.nextDouble() * 0.6, random.nextInt(700));
		int[] step = { 0 };
		fleet.run(4000, () -> {
			if (step[0]++ % 4 == 0) {
				disturb(fleet, random);
			}
		});
		fleet.setLink((from, to) -> true);
		fleet.disturb(0, 0);
		fleet.run(SETTLED_MILLIS);
		StateProtocolTests.assertTruth(fleet.nodes(), fleet.nodes());
	}

	private static void disturb(SimulatedFleet fleet, Random random) {
		List<Node> nodes = fleet.nodes();
		for (Node node : nodes) {
			if (random.nextBoolean()) {
				node.addRequest(random.nextInt(SimulatedFleet.RUNNERS));
			}
			else {
				node.endRequest();
			}
		}
		if (random.nextInt(8) == 0) {
			fleet.restart(nodes.get(random.nextInt(nodes.size())).vm);
		}
		if (random.nextInt(8) == 0) {
			Node cut = nodes.get(random.nextInt(nodes.size()));
			fleet.setLink((from, to) -> !from.vm.equals(cut.vm) && !to.vm.equals(cut.vm));
		}
		if (random.nextInt(16) == 0) {
			nodes.get(random.nextInt(nodes.size())).serving = random.nextInt(3) > 0;
		}
	}

	// Guards against load that counts twice in the view of any daemon, whatever is lost.
	@Property(tries = 8, seed = "27182818")
	void unchangingLoadNeverCountsTwice(@ForAll Random random) {
		SimulatedFleet fleet = SimulatedFleet.of(random, 13 + random.nextInt(8));
		fleet.nodes().forEach((node) -> node.addRequest(random.nextInt(SimulatedFleet.RUNNERS)));
		fleet.disturb(random.nextDouble() * 0.5, random.nextInt(400));
		List<Node> nodes = fleet.nodes();
		fleet.run(5000, () -> {
			for (Node node : nodes) {
				for (int i = 0; i < SimulatedFleet.RUNNERS; i++) {
					assertThat(node.load(i).running()).as("load of runner %d at %s", i, node)
						.isLessThanOrEqualTo(SimulatedFleet.truth(nodes, SimulatedFleet.runner(i)).running());
				}
			}
		});
	}

}
