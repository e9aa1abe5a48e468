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
import io.bilberryvalve.policy.lease.LeaseHolder;
import org.jspecify.annotations.Nullable;

/**
 * Carries the actions of one {@link LeaseHolder} to the table service. Safe for use by
 * several threads.
 */
public final class LeaseManager {

	/** Table of the leases. */
	public static final String TABLE = "leases";

	private static final ObjectMapper JSON = new ObjectMapper();

	private final String key;

	private final LeaseHolder candidate;

	private final TableService tables;

	/**
	 * Creates a keeper.
	 * @param scope key of the row
	 * @param holder decides
	 * @param tables where the row lies
	 */
	public LeaseManager(String scope, LeaseHolder holder, TableService tables) {
		this.key = scope;
		this.candidate = holder;
		this.tables = tables;
	}

	/**
	 * Returns the grant under which the daemon may act now.
	 * @return the grant, or empty
	 */
	public Optional<LeaseHolder.Grant> grant() {
		synchronized (this.candidate) {
			return this.candidate.grant();
		}
	}

	/**
	 * Does what is due. Call it several times in the duration of the lease.
	 * @param competes whether the daemon is a candidate
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
			this.tables.read(TABLE, this.key).thenAccept((fetched) -> execute(onRead(fetched)));
		}
		else if (action instanceof LeaseAction.Write write) {
			RowOperation put = new RowOperation.Put(TABLE, this.key, write.expectVersion(), encode(write.lease()));
			this.tables.commit(List.of(put)).thenAccept(this::onCommit);
		}
	}

	private LeaseAction onRead(ReadResult<Row> fetched) {
		synchronized (this.candidate) {
			if (fetched instanceof ReadResult.Found<Row> found) {
				return this.candidate.found(found.value().version(), decode(found.value().value()));
			}
			if (fetched instanceof ReadResult.Missing<Row>) {
				return this.candidate.found(RowOperation.ABSENT, null);
			}
			this.candidate.failed();
			return new LeaseAction.None();
		}
	}

	private void onCommit(CommitResult commit) {
		synchronized (this.candidate) {
			if (commit instanceof CommitResult.Committed committed) {
				this.candidate.committed(committed.versions().get(0));
			}
			else if (commit instanceof CommitResult.Conflict conflict) {
				CommitResult.ConflictRow row = conflict.rows().get(0);
				String value = row.value();
				this.candidate.conflict(row.version(), (value != null) ? decode(value) : null);
			}
			else if (commit instanceof CommitResult.Refused) {
				this.candidate.failed();
			}
			else {
				this.candidate.lost();
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
			throw new IllegalArgumentException("a lease row is damaged", ex);
		}
	}

}
