package io.bilberryvalve.platform.lease;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberryvalve.platform.Commit;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.Operation;
import io.bilberryvalve.platform.Row;
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
public final class LeaseKeeper {

	/** Table of the leases. */
	public static final String TABLE = "leases";

	private static final ObjectMapper JSON = new ObjectMapper();

	private final String scope;

	private final LeaseHolder holder;

	private final TableService tables;

	/**
	 * Creates a keeper.
	 * @param scope key of the row
	 * @param holder decides
	 * @param tables where the row lies
	 */
	public LeaseKeeper(String scope, LeaseHolder holder, TableService tables) {
		this.scope = scope;
		this.holder = holder;
		this.tables = tables;
	}

	/**
	 * Returns the grant under which the daemon may act now.
	 * @return the grant, or empty
	 */
	public Optional<LeaseHolder.Grant> grant() {
		synchronized (this.holder) {
			return this.holder.grant();
		}
	}

	/**
	 * Does what is due. Call it several times in the duration of the lease.
	 * @param competes whether the daemon is a candidate
	 */
	public void tick(boolean competes) {
		LeaseAction action;
		synchronized (this.holder) {
			action = this.holder.tick(competes);
		}
		run(action);
	}

	private void run(LeaseAction action) {
		if (action instanceof LeaseAction.Read) {
			this.tables.read(TABLE, this.scope).thenAccept((fetched) -> run(read(fetched)));
		}
		else if (action instanceof LeaseAction.Write write) {
			Operation put = new Operation.Put(TABLE, this.scope, write.expectVersion(), encode(write.lease()));
			this.tables.commit(List.of(put)).thenAccept(this::written);
		}
	}

	private LeaseAction read(Fetched<Row> fetched) {
		synchronized (this.holder) {
			if (fetched instanceof Fetched.Found<Row> found) {
				return this.holder.found(found.value().version(), decode(found.value().value()));
			}
			if (fetched instanceof Fetched.Missing<Row>) {
				return this.holder.found(Operation.ABSENT, null);
			}
			this.holder.failed();
			return new LeaseAction.None();
		}
	}

	private void written(Commit commit) {
		synchronized (this.holder) {
			if (commit instanceof Commit.Committed committed) {
				this.holder.committed(committed.versions().get(0));
			}
			else if (commit instanceof Commit.Conflict conflict) {
				Commit.ConflictRow row = conflict.rows().get(0);
				String value = row.value();
				this.holder.conflict(row.version(), (value != null) ? decode(value) : null);
			}
			else if (commit instanceof Commit.Refused) {
				this.holder.failed();
			}
			else {
				this.holder.lost();
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
