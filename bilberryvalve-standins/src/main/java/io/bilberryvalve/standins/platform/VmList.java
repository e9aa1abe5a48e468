package io.bilberryvalve.standins.platform;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * List of VMs that shows each change only after a delay.
 */
final class VmList {

	private final Clock clock;

	private final Duration lag;

	private final Deque<Change> pending = new ArrayDeque<>();

	private final Map<String, VmEntry> visible = new TreeMap<>();

	/**
	 * Creates a list.
	 * @param clock measures the delay
	 * @param lag time after which a change shows
	 * @param initial entries that show at once
	 */
	VmList(Clock clock, Duration lag, List<VmEntry> initial) {
		this.clock = clock;
		this.lag = lag;
		for (VmEntry entry : initial) {
			if (entry.vm() == null) {
				throw new IllegalArgumentException("an initial VM entry needs a name");
			}
			this.visible.put(entry.vm(), entry);
		}
	}

	/**
	 * Sets or removes an entry.
	 * @param vm the VM
	 * @param entry its entry, or {@code null} to remove it
	 */
	synchronized void set(String vm, @Nullable VmEntry entry) {
		this.pending.add(new Change(this.clock.instant().plus(this.lag), vm, entry));
	}

	/**
	 * Returns the entries as they were before the delay.
	 * @return the entries in the order of their VMs
	 */
	synchronized List<VmEntry> list() {
		Instant now = this.clock.instant();
		for (Change next = this.pending.peek(); next != null
				&& !next.visibleAt().isAfter(now); next = this.pending.peek()) {
			this.pending.remove();
			apply(next);
		}
		return new ArrayList<>(this.visible.values());
	}

	private void apply(Change change) {
		if (change.entry() != null) {
			this.visible.put(change.vm(), change.entry());
		}
		else {
			this.visible.remove(change.vm());
		}
	}

	private record Change(Instant visibleAt, String vm, @Nullable VmEntry entry) {

	}

}
