package io.bilberryvalve.policy.queue;

import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;

import org.jspecify.annotations.Nullable;

/**
 * All requests of a queue in the order in which they are served: those of all classes
 * that can be on time, and then the late ones. The queue must not change meanwhile.
 *
 * @param <T> type of the requests
 */
final class ServingOrder<T> implements Iterator<Waiting<T>> {

	private final List<PriorityClass<T>> classes;

	private int position;

	private @Nullable Iterator<Waiting<T>> current;

	ServingOrder(Collection<PriorityClass<T>> classes) {
		this.classes = List.copyOf(classes);
	}

	@Override
	public boolean hasNext() {
		while (this.current == null || !this.current.hasNext()) {
			if (this.position == 2 * this.classes.size()) {
				return false;
			}
			boolean late = this.position >= this.classes.size();
			this.current = this.classes.get(this.position % this.classes.size()).inOrder(late);
			this.position++;
		}
		return true;
	}

	@Override
	public Waiting<T> next() {
		if (!hasNext() || this.current == null) {
			throw new NoSuchElementException("no more requests");
		}
		return this.current.next();
	}

}
