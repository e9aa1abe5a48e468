package io.bilberryvalve.gateway.feed;

import java.util.List;

import io.bilberryvalve.gateway.peer.Delegates;
import io.bilberryvalve.model.Address;

/**
 * Role of this daemon among those of its data centre that read rows of the store. Each
 * call answers for the present moment.
 */
public interface ReaderRole {

	/**
	 * Returns whether daemons read rows from delegates.
	 * @return {@code false} if each daemon reads the store
	 */
	boolean delegatesInUse();

	/**
	 * Returns whether this daemon is a delegate of its data centre.
	 * @return whether other daemons may ask it
	 */
	boolean isDelegate();

	/**
	 * Returns whether this daemon is the first delegate of its data centre, which reads
	 * the store for the others.
	 * @return whether it must not ask the others
	 */
	boolean isFirstDelegate();

	/**
	 * Returns the delegates of the data centre other than this daemon.
	 * @return the delegates, the first one first
	 */
	List<Delegate> others();

	/**
	 * Returns the role that follows from the present daemons.
	 * @param delegates delegates of the data centres
	 * @return the role, which follows all changes
	 */
	static ReaderRole of(Delegates delegates) {
		return new ReaderRole() {

			@Override
			public boolean delegatesInUse() {
				return delegates.inUse();
			}

			@Override
			public boolean isDelegate() {
				return delegates.isDelegate();
			}

			@Override
			public boolean isFirstDelegate() {
				return delegates.isFirst();
			}

			@Override
			public List<Delegate> others() {
				return delegates.ofOwnDataCentre()
					.stream()
					.map((peer) -> new Delegate(peer.vm(), peer.stateAddress()))
					.toList();
			}

		};
	}

	/**
	 * A delegate.
	 *
	 * @param vm name of its VM
	 * @param address address for states and rows
	 */
	record Delegate(String vm, Address address) {

	}

}
