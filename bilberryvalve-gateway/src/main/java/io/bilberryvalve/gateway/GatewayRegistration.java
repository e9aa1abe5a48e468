package io.bilberryvalve.gateway;

import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.watch.StoreEra;

/**
 * Writes the row of this gateway, through which other gateways find it, and writes it
 * again in each later era of the store, which may have lost it. State is confined to the
 * timer, which must run one task at a time.
 */
final class GatewayRegistration {

	/**
	 * Table through which gateways find each other; it maps names of VMs to the addresses
	 * for states.
	 */
	static final String TABLE = "gateways";

	private static final int RETRY_MILLIS = 500;

	/**
	 * Time over which the gateways of a fleet spread their writes in a new era, since all
	 * of them notice it at about the same time.
	 */
	private static final int SPREAD_MILLIS = 1000;

	private static final long NOT_REGISTERED = -1;

	private final RowOperation.Put row;

	private final TableService tables;

	private final StoreEra storeEra;

	private final ScheduledExecutorService timer;

	private final RandomGenerator random;

	private final Runnable onRegistered;

	/** Era of the store that has confirmed the row. */
	private long registeredEra = NOT_REGISTERED;

	private boolean pending;

	/**
	 * Creates a registration, which does nothing until {@link #start()}.
	 * @param vm name of the VM
	 * @param stateAddress address for states
	 * @param tables store of the row
	 * @param storeEra latest era of the store
	 * @param timer runs the attempts
	 * @param random source of the delay in a new era
	 * @param onRegistered runs after each write of the row
	 */
	GatewayRegistration(String vm, String stateAddress, TableService tables, StoreEra storeEra,
			ScheduledExecutorService timer, RandomGenerator random, Runnable onRegistered) {
		this.row = new RowOperation.Put(TABLE, vm, null, stateAddress);
		this.tables = tables;
		this.storeEra = storeEra;
		this.timer = timer;
		this.random = random;
		this.onRegistered = onRegistered;
	}

	/**
	 * Starts to register. Must be called once.
	 */
	void start() {
		this.storeEra.onChange((era) -> schedule(this.random.nextInt(SPREAD_MILLIS)));
		this.timer.execute(this::register);
	}

	private void schedule(int delayMillis) {
		this.timer.schedule(this::register, delayMillis, TimeUnit.MILLISECONDS);
	}

	// Does nothing if the row was confirmed in the latest era, or if a write is pending,
	// which is repeated unless its response is from the latest era.
	private void register() {
		if (this.pending || this.registeredEra >= this.storeEra.current()) {
			return;
		}
		this.pending = true;
		this.tables.commit(List.of(this.row))
			.whenComplete((commit, failure) -> this.timer.execute(() -> onCommit(commit)));
	}

	private void onCommit(CommitResult commit) {
		this.pending = false;
		if (commit instanceof CommitResult.Committed committed) {
			this.registeredEra = committed.era();
			this.onRegistered.run();
		}
		if (this.registeredEra < this.storeEra.current()) {
			schedule(RETRY_MILLIS);
		}
	}

}
