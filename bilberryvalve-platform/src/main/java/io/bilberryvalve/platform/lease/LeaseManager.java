package io.bilberryvalve.platform.lease;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.StoreFailure;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.watch.StoreEra;
import io.bilberryvalve.policy.lease.FencingNumber;
import io.bilberryvalve.policy.lease.Lease;
import io.bilberryvalve.policy.lease.LeaseAction;
import io.bilberryvalve.policy.lease.LeaseCandidate;

/**
 * Acquires, renews and releases one lease in the table service. A {@link LeaseCandidate}
 * decides what to read and write; this class executes its actions and reports their
 * results back to it. Safe for use by several threads.
 */
public final class LeaseManager {

	/** Name of the table that holds the leases. */
	public static final String TABLE = "leases";

	private static final System.Logger LOGGER = System.getLogger(LeaseManager.class.getName());

	private static final ObjectMapper JSON = new ObjectMapper();

	private final String key;

	private final LeaseCandidate candidate;

	private final TableService tables;

	private final StoreEra storeEra;

	/**
	 * Creates a manager of one lease.
	 * @param key key of the row that holds the lease
	 * @param candidate state machine that decides on reads and writes
	 * @param tables service that holds the row
	 */
	public LeaseManager(String key, LeaseCandidate candidate, TableService tables) {
		this(key, candidate, tables, new StoreEra());
	}

	/**
	 * Creates a manager of one lease.
	 * @param key key of the row that holds the lease
	 * @param candidate state machine that decides on reads and writes
	 * @param tables service that holds the row
	 * @param storeEra latest era of the service, shared with its other clients
	 */
	public LeaseManager(String key, LeaseCandidate candidate, TableService tables, StoreEra storeEra) {
		this.storeEra = storeEra;
		this.key = key;
		this.candidate = candidate;
		this.tables = tables;
	}

	/**
	 * Returns the grant under which the daemon may act now.
	 * @return the grant, or empty if the daemon does not hold the lease
	 */
	public Optional<LeaseCandidate.Grant> grant() {
		synchronized (this.candidate) {
			this.candidate.storeEraSeen(this.storeEra.current());
			return this.candidate.grant();
		}
	}

	/**
	 * Starts the read or write of the lease that is due, if any. It must be called
	 * several times during the duration of the lease, so that the lease is renewed in
	 * time.
	 * @param competes whether the daemon competes for the lease; if not, it releases the
	 * lease that it holds
	 */
	public void tick(boolean competes) {
		LeaseAction action;
		synchronized (this.candidate) {
			this.candidate.storeEraSeen(this.storeEra.current());
			action = this.candidate.tick(competes);
		}
		execute(action);
	}

	private void execute(LeaseAction action) {
		if (action instanceof LeaseAction.Read) {
			this.tables.read(TABLE, this.key)
				.exceptionally((cause) -> new ReadResult.Failed<>(
						StoreFailure.of(StoreFailure.Kind.ANSWER_LOST, cause.toString())))
				.thenAccept((result) -> execute(onRead(result)));
		}
		else if (action instanceof LeaseAction.Write write) {
			RowOperation put = new RowOperation.Put(TABLE, this.key, write.expectVersion(), encode(write.lease()));
			this.tables.commit(List.of(put))
				.exceptionally((cause) -> new CommitResult.Unknown(
						StoreFailure.of(StoreFailure.Kind.ANSWER_LOST, cause.toString())))
				.thenAccept(this::onCommit);
		}
	}

	private LeaseAction onRead(ReadResult<Row> result) {
		synchronized (this.candidate) {
			if (result instanceof ReadResult.Found<Row> found) {
				Row row = found.value();
				return this.candidate.leaseRead(found.era(), row.version(),
						decode(found.era(), row.version(), row.value()));
			}
			if (result instanceof ReadResult.Missing<Row> missing) {
				return this.candidate.leaseRead(missing.era(), RowOperation.ABSENT, null);
			}
			this.candidate.actionFailed();
			return new LeaseAction.None();
		}
	}

	private void onCommit(CommitResult commit) {
		synchronized (this.candidate) {
			if (commit instanceof CommitResult.Committed committed) {
				long version = committed.versions().get(0);
				if (!this.candidate.writeCommitted(committed.era(), version)) {
					logOtherEra(committed.era(), version);
				}
			}
			else if (commit instanceof CommitResult.Conflict conflict) {
				CommitResult.ConflictRow row = conflict.rows().get(0);
				String value = row.value();
				this.candidate.writeConflicted(conflict.era(), row.version(),
						(value != null) ? decode(conflict.era(), row.version(), value) : null);
			}
			else if (commit instanceof CommitResult.Refused) {
				this.candidate.actionFailed();
			}
			else {
				this.candidate.writeResultUnknown();
			}
		}
	}

	private static String encode(Lease lease) {
		return JSON.createObjectNode().put("holder", lease.holder()).put("fencing", lease.fencing().value()).toString();
	}

	// A row that cannot be read counts as a released lease with the highest number that
	// can have been granted.
	private Lease decode(long era, long version, String text) {
		try {
			JsonNode node = JSON.readTree(text);
			JsonNode fencing = node.path("fencing");
			if (node.path("holder").isTextual() && fencing.canConvertToExactIntegral() && fencing.canConvertToLong()
					&& FencingNumber.isPossible(fencing.longValue(), era, version)) {
				return new Lease(node.path("holder").textValue(), new FencingNumber(fencing.longValue()));
			}
			logUnreadable(version, "no holder, or no fencing number up to the era and the version");
		}
		catch (JsonProcessingException ex) {
			logUnreadable(version, ex.getOriginalMessage());
		}
		return new Lease("", FencingNumber.highest(era, Math.max(1, version)));
	}

	private void logOtherEra(long era, long version) {
		LogEvent.of("lease-write-in-other-era")
			.with("lease", this.key)
			.with("era", era)
			.with("known-era", this.storeEra.current())
			.with("row-version", version)
			.log(LOGGER, System.Logger.Level.WARNING);
	}

	private void logUnreadable(long version, String cause) {
		LogEvent.of("lease-unreadable")
			.with("lease", this.key)
			.with("row-version", version)
			.with("cause", cause)
			.log(LOGGER, System.Logger.Level.WARNING);
	}

}
