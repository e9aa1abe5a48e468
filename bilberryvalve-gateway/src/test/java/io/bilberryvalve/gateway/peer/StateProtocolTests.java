package io.bilberryvalve.gateway.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.peer.SimulatedFleet.Node;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.platform.watch.StoreVersion;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class StateProtocolTests {

	private static final int DAEMONS = 30;

	/** Time in which each of the daemons hears of all others after they start. */
	private static final long START_MILLIS = 3000;

	private final Random random = new Random(20_261_206);

	private SimulatedFleet started(int daemons) {
		SimulatedFleet fleet = SimulatedFleet.of(this.random, daemons);
		fleet.nodes().forEach((node) -> node.addRequest(this.random.nextInt(SimulatedFleet.RUNNERS)));
		fleet.run(START_MILLIS);
		return fleet;
	}

	static void assertTruth(List<Node> observers, List<Node> daemons) {
		for (Node observer : observers) {
			for (int i = 0; i < SimulatedFleet.RUNNERS; i++) {
				assertThat(observer.load(i)).as("load of runner %d at %s", i, observer)
					.isEqualTo(SimulatedFleet.truth(daemons, SimulatedFleet.runner(i)));
			}
		}
	}

	// Guards against requests that count twice or not at all because they are in a
	// digest.
	@Example
	void eachDaemonCountsTheLoadOfAllOnce() {
		SimulatedFleet fleet = started(DAEMONS);
		assertTruth(fleet.nodes(), fleet.nodes());
		fleet.nodes().forEach((node) -> {
			node.endRequest();
			node.addRequest(1);
		});
		fleet.run(2000);
		assertTruth(fleet.nodes(), fleet.nodes());
	}

	@Example
	void allDaemonsComputeTheSameTwoDelegates() {
		SimulatedFleet fleet = started(DAEMONS);
		for (String dataCentre : List.of("a", "b", "c")) {
			assertThat(fleet.nodesOf(dataCentre).stream().filter(Node::isDelegate)).hasSize(2);
		}
		assertThat(fleet.nodes()).allMatch((node) -> node.present().size() == DAEMONS - 1);
	}

	// Guards against a change for small fleets, where a delegate would only add delay.
	@Example
	void daemonsOfASmallFleetSendToAllOthers() {
		SimulatedFleet fleet = started(12);
		fleet.resetCounts();
		fleet.run(1500);
		assertThat(fleet.nodes()).allMatch((node) -> node.sent.equals(Map.of(MessageKind.STATE, 110)));
		assertTruth(fleet.nodes(), fleet.nodes());
	}

	// Guards against the traffic that made a fleet of 101 VMs fail.
	@Example
	void messagesOfAMemberDoNotGrowWithTheFleet() {
		Map<Integer, Integer> sent = new HashMap<>();
		Map<Integer, Integer> digests = new HashMap<>();
		for (int daemons : new int[] { 30, 60 }) {
			SimulatedFleet fleet = started(daemons);
			fleet.run(3000);
			fleet.resetCounts();
			fleet.run(6000);
			List<Node> members = fleet.nodes().stream().filter((node) -> !node.isDelegate()).toList();
			assertThat(members).hasSize(daemons - 6);
			assertThat(members).allMatch((node) -> node.sent.keySet().equals(Set.of(MessageKind.STATE)));
			sent.put(daemons, members.stream().mapToInt(Node::sentDatagrams).max().orElseThrow());
			digests.put(daemons,
					members.stream().mapToInt((node) -> node.received(MessageKind.DIGEST)).max().orElseThrow());
			assertThat(members).allMatch((node) -> node.received(MessageKind.STATE) == 0);
		}
		assertThat(sent.get(30)).isEqualTo(80);
		assertThat(sent.get(60)).isEqualTo(80);
		assertThat(digests.get(60)).isLessThanOrEqualTo(44);
		assertThat(digests.get(30)).isLessThanOrEqualTo(44);
	}

	// Guards against a burst of 101 x 101 states in each period.
	@Example
	void startOfAllDaemonsCausesNoBurst() {
		int daemons = 60;
		SimulatedFleet fleet = SimulatedFleet.of(this.random, daemons);
		for (int i = 0; i < 20; i++) {
			fleet.resetCounts();
			fleet.run(150);
			int states = fleet.nodes().stream().mapToInt((node) -> node.sent(MessageKind.STATE)).sum();
			assertThat(states).isLessThan(daemons * daemons / 4);
		}
	}

	@Example
	void delegatesSendAtAlternateTimes() {
		SimulatedFleet fleet = started(DAEMONS);
		fleet.run(3000);
		Node member = fleet.nodesOf("a").stream().filter((node) -> !node.isDelegate()).findFirst().orElseThrow();
		long[] last = { member.received(MessageKind.DIGEST), fleet.clock().millis() };
		fleet.run(3000, () -> {
			if (member.received(MessageKind.DIGEST) > last[0]) {
				last[0] = member.received(MessageKind.DIGEST);
				last[1] = fleet.clock().millis();
			}
			assertThat(fleet.clock().millis() - last[1]).isLessThan(250);
		});
	}

	// Guards against a dead daemon that others keep alive by telling each other of it.
	@Example
	void endedDaemonIsAbsentWithinOneAndAHalfSeconds() {
		SimulatedFleet fleet = started(DAEMONS);
		fleet.stop("vm020");
		fleet.run(1550);
		assertThat(fleet.nodes()).noneMatch((node) -> node.present().contains("vm020"));
		fleet.run(2100);
		assertThat(fleet.nodes()).allMatch((node) -> node.protocol.directory().hasEnded("vm020", 1));
		assertTruth(fleet.nodes(), fleet.nodes());
	}

	@Example
	void lossOfOneDelegateIsNotNoticedByMembers() {
		SimulatedFleet fleet = started(DAEMONS);
		Node delegate = fleet.nodesOf("a").stream().filter(Node::isDelegate).findFirst().orElseThrow();
		fleet.stop(delegate.vm);
		List<Node> left = fleet.nodes();
		fleet.run(4000, () -> assertPresentAndAlive(left));
		assertTruth(left, left);
		assertThat(fleet.nodesOf("a").stream().filter(Node::isDelegate)).hasSize(2);
	}

	private static void assertPresentAndAlive(List<Node> nodes) {
		assertAlive(nodes);
		for (Node observer : nodes) {
			assertThat(observer.present()).as("present at %s", observer).hasSizeGreaterThanOrEqualTo(nodes.size() - 1);
		}
	}

	private static void assertAlive(List<Node> nodes) {
		for (Node observer : nodes) {
			for (Node other : nodes) {
				assertThat(observer.protocol.directory().hasEnded(other.vm, other.incarnation))
					.as("%s has ended at %s", other, observer)
					.isFalse();
			}
		}
	}

	// Guards against members that wait for digests which nobody sends. Without digests a
	// state comes every 1.2 s, so that no load may be missing for longer.
	@Example
	void lossOfBothDelegatesIsMadeUpForByTheNextOnes() {
		SimulatedFleet fleet = started(DAEMONS);
		fleet.nodesOf("a").stream().filter(Node::isDelegate).forEach((node) -> fleet.stop(node.vm));
		List<Node> left = fleet.nodes();
		Map<Node, Long> complete = new HashMap<>();
		fleet.run(5500, () -> {
			assertAlive(left);
			for (Node observer : left) {
				if (isComplete(observer, left)) {
					complete.put(observer, fleet.clock().millis());
				}
				assertThat(fleet.clock().millis() - complete.get(observer)).as("load missing at %s", observer)
					.isLessThanOrEqualTo(1200);
			}
		});
		assertThat(fleet.nodesOf("a").stream().filter(Node::isDelegate)).hasSize(2);
		assertThat(left).allMatch((node) -> node.present().size() == left.size() - 1);
		assertTruth(left, left);
	}

	private static boolean isComplete(Node observer, List<Node> daemons) {
		for (int i = 0; i < SimulatedFleet.RUNNERS; i++) {
			if (observer.load(i).running() < SimulatedFleet.truth(daemons, SimulatedFleet.runner(i)).running()) {
				return false;
			}
		}
		return true;
	}

	// Guards against a new delegate that sends sums of the few states which it has
	// received in its first moments.
	@Example
	void newDelegateHidesNoLoad() {
		SimulatedFleet fleet = started(DAEMONS);
		List<Node> before = fleet.nodes();
		Node added = fleet.add("new", "a", 8);
		fleet.introduceAll();
		fleet.run(4000, () -> assertThat(before).allMatch((node) -> isComplete(node, before)));
		assertThat(added.isDelegate()).isTrue();
		assertThat(added.sent(MessageKind.DIGEST)).isPositive();
		assertTruth(fleet.nodes(), fleet.nodes());
	}

	// Guards against data centres that never find each other again.
	@Example
	void cutDataCentreCountsNoLongerAndIsHeardAgain() {
		SimulatedFleet fleet = started(DAEMONS);
		fleet.setLink((from, to) -> from.dataCentre.value().equals("c") == to.dataCentre.value().equals("c"));
		fleet.run(6000);
		List<Node> cut = fleet.nodesOf("c");
		List<Node> others = fleet.nodes().stream().filter((node) -> !cut.contains(node)).toList();
		assertTruth(cut, cut);
		assertTruth(others, others);
		assertThat(others).noneMatch((node) -> node.sees(cut.get(0)));
		fleet.setLink((from, to) -> true);
		fleet.run(4000);
		assertTruth(fleet.nodes(), fleet.nodes());
		assertThat(fleet.nodes()).allMatch((node) -> node.present().size() == DAEMONS - 1);
	}

	// Guards against load that counts twice while some daemons know few others.
	@Example
	void daemonsThatKnowFewOthersAreCountedOnce() {
		SimulatedFleet fleet = new SimulatedFleet(this.random);
		for (int i = 0; i < 15; i++) {
			fleet.add("vm" + (char) ('a' + i), "abc".substring(i % 3, i % 3 + 1), (i < 6) ? 4 : 1).addRequest(i % 5);
		}
		for (Node node : fleet.nodes()) {
			int known = (node.vm.compareTo("vmh") < 0) ? 11 : 15;
			fleet.nodes().stream().limit(known).forEach((other) -> node.protocol.directory().addTarget(other.address));
		}
		fleet.run(START_MILLIS, () -> {
			for (Node node : fleet.nodes()) {
				for (int i = 0; i < SimulatedFleet.RUNNERS; i++) {
					assertThat(node.load(i).running()).as("load at %s", node).isLessThanOrEqualTo(3);
				}
			}
		});
		assertTruth(fleet.nodes(), fleet.nodes());
	}

	// Guards against a daemon that is hidden from others because it takes the fleet for a
	// large one and they do not.
	@Example
	void daemonThatKnowsEndedOnesIsHeardByAll() {
		SimulatedFleet fleet = SimulatedFleet.of(this.random, 10);
		fleet.nodes().forEach((node) -> node.addRequest(1));
		Node misled = fleet.node("vm009");
		for (int i = 0; i < 5; i++) {
			misled.protocol.directory().addTarget(new Address("10.9.9." + i, 7000));
		}
		fleet.run(6000);
		assertThat(misled.protocol.delegates().inUse()).isTrue();
		assertTruth(fleet.nodes(), fleet.nodes());
		fleet.run(3000, () -> assertThat(fleet.nodes()).allMatch((node) -> node.present().size() == 9));
	}

	@Example
	void daemonAloneInItsDataCentreCountsTheLoadOfAll() {
		SimulatedFleet fleet = SimulatedFleet.of(this.random, DAEMONS);
		Node alone = fleet.add("alone", "d", 0.25);
		alone.serving = false;
		fleet.introduceAll();
		fleet.nodes().forEach((node) -> node.addRequest(2));
		fleet.run(START_MILLIS + 1000);
		assertThat(alone.isDelegate()).isTrue();
		assertTruth(fleet.nodes(), fleet.nodes());
		assertThat(fleet.nodes()).allMatch((node) -> node.present().size() == DAEMONS);
	}

	// Guards against news that wait for three periods on their way.
	@Example
	void urgentNewsPassAtOnce() {
		SimulatedFleet fleet = started(DAEMONS);
		Node member = fleet.nodesOf("b").stream().filter((node) -> !node.isDelegate()).findFirst().orElseThrow();
		member.configuration = 2;
		member.runnerList = new StoreVersion(0, 9);
		member.leaving = true;
		member.serving = false;
		fleet.sendNow(member);
		fleet.run(150);
		List<Node> others = fleet.nodes().stream().filter((node) -> node != member).toList();
		assertThat(others).allMatch((node) -> node.newerConfigurations.contains(2L));
		assertThat(others).allMatch((node) -> node.newerRunnerLists.contains(new StoreVersion(0, 9)));
		assertThat(others).allMatch((node) -> node.protocol.directory().get(member.vm).leaving());
	}

	@Example
	void leavingDelegateIsKnownAtOnce() {
		SimulatedFleet fleet = started(DAEMONS);
		Node delegate = fleet.nodesOf("b").stream().filter(Node::isDelegate).findFirst().orElseThrow();
		delegate.serving = false;
		delegate.leaving = true;
		fleet.sendNow(delegate);
		fleet.run(150);
		assertThat(fleet.nodes())
			.allMatch((node) -> node == delegate || node.protocol.directory().get(delegate.vm).leaving());
		fleet.run(3000);
		assertThat(fleet.nodesOf("b").stream().filter(Node::isDelegate)).hasSize(2).doesNotContain(delegate);
		assertTruth(fleet.nodes(), fleet.nodes());
	}

	// Guards against a runner that daemons tell each other of although it has recovered.
	@Example
	void lostRunnerIsAvoidedEverywhereAndNoLongerThanBefore() {
		SimulatedFleet fleet = started(DAEMONS);
		Node member = fleet.nodesOf("b").stream().filter((node) -> !node.isDelegate()).findFirst().orElseThrow();
		RunnerId runner = new RunnerId("lost");
		member.availability.markLost(listed(runner), "refuses connections");
		fleet.sendNow(member);
		fleet.run(200);
		assertThat(fleet.nodes()).noneMatch((node) -> node.availability.isUsable(runner));
		fleet.run(2700, () -> assertThat(fleet.nodes()).noneMatch((node) -> node.availability.isUsable(runner)));
		fleet.run(1100);
		assertThat(fleet.nodes()).allMatch((node) -> node.availability.isUsable(runner));
	}

	@Example
	void lostRunnerOfAnEndedDaemonIsUsedAgain() {
		SimulatedFleet fleet = started(DAEMONS);
		Node member = fleet.nodesOf("b").stream().filter((node) -> !node.isDelegate()).findFirst().orElseThrow();
		RunnerId runner = new RunnerId("lost");
		member.availability.markLost(listed(runner), "refuses connections");
		fleet.run(1000);
		fleet.stop(member.vm);
		fleet.run(1450);
		assertThat(fleet.nodes()).allMatch((node) -> node.availability.isUsable(runner));
	}

	private static ListedRunner listed(RunnerId runner) {
		return new ListedRunner(runner, new Address("10.1.0.1", 80), "s", new DataCentreId("a"), 1, false, null, null,
				1, 1);
	}

	// Guards against an ended start whose load is taken for that of the new one.
	@Example
	void restartedDaemonIsCountedOnce() {
		SimulatedFleet fleet = started(DAEMONS);
		Node restarted = fleet.restart("vm020");
		restarted.addRequest(3);
		fleet.run(START_MILLIS);
		assertTruth(fleet.nodes(), fleet.nodes());
		assertThat(fleet.nodes())
			.allMatch((node) -> node == restarted || node.protocol.directory().get("vm020").incarnation() == 2);
		assertThat(fleet.nodes()).allMatch((node) -> node.protocol.directory().hasEnded("vm020", 1));
		assertThat(fleet.nodes()).noneMatch((node) -> node.protocol.directory().hasEnded("vm020", 2));
	}

	// Guards against a lease that another daemon takes from a living holder because some
	// rosters were lost.
	@Example
	void livingDaemonHasNotEndedWhileATenthOfTheDatagramsIsLost() {
		SimulatedFleet fleet = started(DAEMONS);
		fleet.disturb(0.1, 50);
		List<Node> nodes = fleet.nodes();
		fleet.run(10_000, () -> assertAlive(nodes));
	}

	// Guards against callers that are directed away from living daemons because one
	// delegate does not reach the others.
	@Example
	void allDaemonsArePresentWhileTheDatagramsOfOneDelegateAreLost() {
		SimulatedFleet fleet = started(DAEMONS);
		Node silent = fleet.nodesOf("a").stream().filter(Node::isDelegate).findFirst().orElseThrow();
		fleet.setLink((from, to) -> from != silent);
		List<Node> others = fleet.nodes().stream().filter((node) -> node != silent).toList();
		fleet.run(6000, () -> assertThat(others).allMatch((node) -> node.present().size() >= DAEMONS - 2
				&& others.stream().allMatch((other) -> other == node || node.sees(other))));
	}

	@Example
	void allDaemonsAgreeOnLeaderAndReaders() {
		SimulatedFleet fleet = started(DAEMONS);
		assertThat(fleet.nodes().stream().filter((node) -> node.protocol.directory().isLeader()))
			.containsExactly(fleet.node("vm000"));
		assertThat(fleet.nodes().stream().filter((node) -> node.protocol.directory().isReader()))
			.containsExactlyInAnyOrder(fleet.node("vm000"), fleet.node("vm001"));
		assertThat(fleet.nodes()).allMatch((node) -> node.protocol.directory().knownCount() == DAEMONS);
	}

}
