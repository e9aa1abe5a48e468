package io.bilberryvalve.daemon.order;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Records which daemon acted under which fencing number and which orders engines
 * executed, and checks that fencing numbers are unique and do not decrease. The check is
 * independent of the code under test.
 */
final class OrderHistory {

	private final List<Action> acts = new ArrayList<>();

	private final Map<String, Long> executed = new HashMap<>();

	private @Nullable String violation;

	void recordAction(Instant at, String holder, long fencing) {
		for (Action act : this.acts) {
			report(act.fencing() == fencing && !act.holder().equals(holder),
					"fencing number " + fencing + " of " + act.holder() + " was granted to " + holder);
			report(act.fencing() > fencing, holder + " acted with " + fencing + " at " + at + " after " + act);
		}
		this.acts.removeIf((act) -> act.fencing() == fencing);
		this.acts.add(new Action(holder, fencing));
	}

	void recordExecution(String engine, long fencing) {
		Long before = this.executed.put(engine, fencing);
		report(before != null && before > fencing,
				engine + " executed an order with " + fencing + " after one with " + before);
	}

	private void report(boolean broken, String text) {
		if (broken && this.violation == null) {
			this.violation = text;
		}
	}

	@Nullable String violation() {
		return this.violation;
	}

	private record Action(String holder, long fencing) {

	}

}
