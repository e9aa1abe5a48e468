package io.bilberryvalve.platform.lease;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
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
			this.tables.read(TABLE, this.key).thenAccept((result) -> execute(onRead(result)));
		}
		else if (action instanceof LeaseAction.Write write) {
			RowOperation put = new RowOperation.Put(TABLE, this.key, write.expectVersion(), encode(write.lease()));
			this.tables.commit(List.of(put)).thenAccept(this::onCommit);
		}
	}

	private LeaseAction onRead(ReadResult<Row> result) {
		synchronized (this.candidate) {
			if (result instanceof ReadResult.Found<Row> found) {
				return this.candidate.leaseRead(found.value().version(), decode(found.value().value()));
			}
			if (result instanceof ReadResult.Missing<Row>) {
				return this.candidate.leaseRead(RowOperation.ABSENT, null);
			}
			this.candidate.actionFailed();
			return new LeaseAction.None();
		}
	}

	private void onCommit(CommitResult commit) {
		synchronized (this.candidate) {
			if (commit instanceof CommitResult.Committed committed) {
				this.candidate.writeCommitted(committed.versions().get(0));
			}
			else if (commit instanceof CommitResult.Conflict conflict) {
				CommitResult.ConflictRow row = conflict.rows().get(0);
				String value = row.value();
				this.candidate.writeConflicted(row.version(), (value != null) ? decode(value) : null);
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

	private static @Nullable Lease decode(String text) {
		try {
			JsonNode node = JSON.readTree(text);
			return new Lease(node.path("holder").asText(), new FencingNumber(node.path("fencing").asLong()));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("the lease row is not valid JSON", ex);
		}
	}

}
