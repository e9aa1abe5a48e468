package io.bilberryvalve.platform.lease;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.policy.lease.FencingNumber;
import io.bilberryvalve.policy.lease.Lease;
import io.bilberryvalve.policy.lease.LeaseAction;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import org.jspecify.annotations.Nullable;

/**
 * Acquires, renews and releases one lease in the table service. A {@link LeaseCandidate}
 * decides what to read and write; this class executes its actions and reports their
 * results back to it. Safe for use by several threads.
 */
public final class LeaseManager {

	/** Name of the table that holds the leases. */
	public static final String TABLE = "leases";

	private static final Logger LOGGER = System.getLogger(LeaseManager.class.getName());

	private static final ObjectMapper JSON = new ObjectMapper();

	private final String key;

	private final LeaseCandidate candidate;

	private final TableService tables;

	/**
	 * Creates a manager of one lease.
	 * @param key key of the row that holds the lease
	 * @param candidate state machine that decides on reads and writes
	 * @param tables service that holds the row
	 */
	public LeaseManager(String key, LeaseCandidate candidate, TableService tables) {
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
			action = this.candidate.tick(competes);
		}
		execute(action);
	}

	private void execute(LeaseAction action) {
		if (action instanceof LeaseAction.Read) {
			this.tables.read(TABLE, this.key).whenComplete((result, error) -> execute(onRead(result)));
		}
		else if (action instanceof LeaseAction.Write write) {
			RowOperation put = new RowOperation.Put(TABLE, this.key, write.expectVersion(), encode(write.lease()));
			this.tables.commit(List.of(put)).whenComplete((commit, error) -> onCommit(commit));
		}
	}

	// An unreadable row counts as a failed read, since without its fencing number no
	// order
	// could be sent. The read is repeated, so that the daemon competes again once the row
	// has been repaired.
	private LeaseAction onRead(@Nullable ReadResult<Row> result) {
		synchronized (this.candidate) {
			try {
				if (result instanceof ReadResult.Found<Row> found) {
					return this.candidate.leaseRead(found.value().version(), decode(found.value().value()));
				}
				if (result instanceof ReadResult.Missing<Row>) {
					return this.candidate.leaseRead(RowOperation.ABSENT, null);
				}
			}
			catch (IllegalArgumentException ex) {
				logUnreadable(ex);
			}
			this.candidate.actionFailed();
			return new LeaseAction.None();
		}
	}

	private void onCommit(@Nullable CommitResult commit) {
		synchronized (this.candidate) {
			if (commit instanceof CommitResult.Committed committed) {
				this.candidate.writeCommitted(committed.versions().get(0));
			}
			else if (commit instanceof CommitResult.Conflict conflict) {
				CommitResult.ConflictRow row = conflict.rows().get(0);
				this.candidate.writeConflicted(row.version(), decodeConflicting(row.value()));
			}
			else if (commit instanceof CommitResult.Refused) {
				this.candidate.actionFailed();
			}
			else {
				this.candidate.writeResultUnknown();
			}
		}
	}

	private @Nullable Lease decodeConflicting(@Nullable String value) {
		try {
			return (value != null) ? decode(value) : null;
		}
		catch (IllegalArgumentException ex) {
			logUnreadable(ex);
			return null;
		}
	}

	private void logUnreadable(IllegalArgumentException error) {
		LogEvent.of("lease-row-unreadable").with("key", this.key).with("error", error).log(LOGGER, Level.WARNING);
	}

	private static String encode(Lease lease) {
		return JSON.createObjectNode().put("holder", lease.holder()).put("fencing", lease.fencing().value()).toString();
	}

	private static Lease decode(String text) {
		try {
			JsonNode node = JSON.readTree(text);
			return new Lease(node.path("holder").asText(), new FencingNumber(node.path("fencing").asLong()));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the lease row is not valid JSON", ex);
		}
	}

}
