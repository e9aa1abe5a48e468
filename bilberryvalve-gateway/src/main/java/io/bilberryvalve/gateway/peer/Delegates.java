package io.bilberryvalve.gateway.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.policy.membership.DelegateSelector;

/**
 * Delegates of the data centres, as this daemon computes them from the present daemons.
 * Each call reads the present daemons again.
 */
public final class Delegates {

	private final StateExchange.LocalState local;

	private final Supplier<Collection<PeerState>> presentPeers;

	private final IntSupplier daemons;

	Delegates(StateExchange.LocalState local, Supplier<Collection<PeerState>> presentPeers, IntSupplier daemons) {
		this.local = local;
		this.presentPeers = presentPeers;
		this.daemons = daemons;
	}

	/**
	 * Returns whether the fleet is so large that it has delegates.
	 * @return {@code false} if each daemon reads the store and sends its state to all
	 * others
	 */
	public boolean inUse() {
		return DelegateSelector.hasDelegates(this.daemons.getAsInt());
	}

	/**
	 * Returns whether this daemon is a delegate of its data centre.
	 * @return {@code true} also if no other daemon of the data centre is heard
	 */
	public boolean isDelegate() {
		return select(this.local.dataCentre()).contains(this.local.vm());
	}

	/**
	 * Returns whether this daemon is the first delegate of its data centre.
	 * @return {@code true} also if no other daemon of the data centre is heard and this
	 * one serves
	 */
	public boolean isFirst() {
		List<String> delegates = select(this.local.dataCentre());
		return !delegates.isEmpty() && delegates.get(0).equals(this.local.vm());
	}

	/**
	 * Returns the delegates of the data centre of this daemon, without this daemon.
	 * @return their last states, the first delegate first
	 */
	public List<PeerState> ofOwnDataCentre() {
		return of(this.local.dataCentre());
	}

	/**
	 * Returns the place of this daemon among the delegates of its data centre.
	 * @return 0 for the first delegate; -1 if it is no delegate
	 */
	int place() {
		return select(this.local.dataCentre()).indexOf(this.local.vm());
	}

	/**
	 * Returns the names of the delegates of each data centre with a present daemon.
	 * @return names of the VMs, the first delegate first, by data centre
	 */
	Map<DataCentreId, List<String>> names() {
		Collection<PeerState> present = this.presentPeers.get();
		Map<DataCentreId, List<String>> names = new TreeMap<>(Comparator.comparing(DataCentreId::value));
		names.put(this.local.dataCentre(), select(this.local.dataCentre(), present));
		present.forEach((peer) -> names.computeIfAbsent(peer.dataCentre(), (key) -> select(key, present)));
		return names;
	}

	/**
	 * Returns the delegates of a data centre, without this daemon.
	 * @param dataCentre the data centre
	 * @return their last states, the first delegate first; empty if none is heard
	 */
	public List<PeerState> of(DataCentreId dataCentre) {
		Collection<PeerState> present = this.presentPeers.get();
		return select(dataCentre, present).stream().flatMap((vm) -> find(vm, present).stream()).toList();
	}

	private static Optional<PeerState> find(String vm, Collection<PeerState> present) {
		return present.stream().filter((peer) -> peer.vm().equals(vm)).findFirst();
	}

	private List<String> select(DataCentreId dataCentre) {
		return select(dataCentre, this.presentPeers.get());
	}

	private List<String> select(DataCentreId dataCentre, Collection<PeerState> present) {
		boolean serves = this.local.serving().getAsBoolean() && !this.local.leaving().getAsBoolean();
		List<DelegateSelector.Contender> serving = contenders(dataCentre, serves,
				present.stream().filter((peer) -> peer.serving() && !peer.leaving()));
		// Daemons that start or leave all at once still need the load of the others.
		return DelegateSelector.select(serving.isEmpty() ? contenders(dataCentre, true, present.stream()) : serving);
	}

	private List<DelegateSelector.Contender> contenders(DataCentreId dataCentre, boolean self,
			Stream<PeerState> peers) {
		List<DelegateSelector.Contender> contenders = new ArrayList<>();
		if (self && dataCentre.equals(this.local.dataCentre())) {
			contenders.add(new DelegateSelector.Contender(this.local.vm(), Math.max(0, this.local.capacity())));
		}
		peers.filter((peer) -> peer.dataCentre().equals(dataCentre))
			.map((peer) -> new DelegateSelector.Contender(peer.vm(), Math.max(0, peer.capacity())))
			.forEach(contenders::add);
		return contenders;
	}

}
