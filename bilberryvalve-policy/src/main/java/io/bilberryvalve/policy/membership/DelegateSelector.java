package io.bilberryvalve.policy.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the daemons of a data centre that act for the others: they read the store, and
 * collect and distribute states. In a fleet of many daemons, work that each of them did
 * for itself, or with each other one, would grow with their number. All daemons compute
 * the delegates from what they have heard, so that nothing has to be agreed on; for a
 * short time they may compute different ones. The daemons with the most processor
 * capacity are selected, since the work of a delegate grows with its data centre.
 */
public final class DelegateSelector {

	/** Number of delegates of a data centre; one of them may fail at any time. */
	public static final int DELEGATES = 2;

	/**
	 * Largest number of daemons of a fleet without delegates. Up to it, messages from
	 * each daemon to all others cost less than the delay that delegates add.
	 */
	public static final int MAX_FLEET_WITHOUT_DELEGATES = 12;

	private static final Comparator<Contender> ORDER = Comparator.comparingDouble(Contender::capacity)
		.reversed()
		.thenComparing(Contender::vm);

	private DelegateSelector() {
	}

	/**
	 * Returns whether a fleet has delegates.
	 * @param daemons number of known daemons, including this one
	 * @return whether messages go through delegates
	 */
	public static boolean hasDelegates(int daemons) {
		return daemons > MAX_FLEET_WITHOUT_DELEGATES;
	}

	/**
	 * Selects the delegates of a data centre.
	 * @param contenders daemons of the data centre that are present, serve callers and do
	 * not leave; may include this one
	 * @return names of the VMs of the delegates, the first delegate first; at most
	 * {@link #DELEGATES}
	 */
	public static List<String> select(Collection<Contender> contenders) {
		return contenders.stream().sorted(ORDER).limit(DELEGATES).map(Contender::vm).toList();
	}

	/**
	 * A daemon that can be a delegate.
	 *
	 * @param vm name of its VM
	 * @param capacity processor capacity of its VM in cores, 0 if unknown
	 */
	public record Contender(String vm, double capacity) {

		/**
		 * Validates the capacity.
		 * @param vm name of its VM
		 * @param capacity processor capacity of its VM in cores
		 * @throws IllegalArgumentException if it is negative or not a number
		 */
		public Contender {
			if (!(capacity >= 0)) {
				throw new IllegalArgumentException("the capacity of a VM is not negative: " + capacity);
			}
		}

	}

}
