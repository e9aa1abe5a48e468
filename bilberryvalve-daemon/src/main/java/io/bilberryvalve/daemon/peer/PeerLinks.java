package io.bilberryvalve.daemon.peer;

import java.time.Clock;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

import io.bilberryvalve.model.VmId;
import io.bilberryvalve.wire.PeerConnection;
import org.jspecify.annotations.Nullable;

/**
 * Registry of the open connections by VM. Two daemons may be linked by two connections,
 * one opened by each side; messages use the one whose heartbeat was answered most
 * recently. Safe for use by several threads.
 */
final class PeerLinks {

	private final Clock clock;

	private final Duration silence;

	private final ConcurrentHashMap<VmId, List<PeerLink>> links = new ConcurrentHashMap<>();

	PeerLinks(Clock clock, Duration silence) {
		this.clock = clock;
		this.silence = silence;
	}

	/**
	 * Adds a connection and closes the connections to earlier incarnations of the same
	 * VM.
	 * @param connection connection that has been authenticated
	 * @return the connection with its monitoring
	 */
	PeerLink open(PeerConnection connection) {
		PeerLink link = new PeerLink(connection, this.clock, this.silence);
		this.links.merge(connection.remote().vm(), List.of(link),
				(old, added) -> Stream.concat(old.stream(), added.stream()).toList());
		long incarnation = connection.remote().incarnation();
		for (PeerLink other : all(connection.remote().vm())) {
			if (other.connection().remote().incarnation() < incarnation) {
				other.connection().close("a later incarnation of the VM has connected");
			}
		}
		return link;
	}

	/**
	 * Removes a connection. Does nothing if it is not registered.
	 * @param connection connection that has ended
	 */
	void remove(PeerConnection connection) {
		this.links.computeIfPresent(connection.remote().vm(), (vm, old) -> {
			List<PeerLink> rest = old.stream().filter((link) -> link.connection() != connection).toList();
			return rest.isEmpty() ? null : rest;
		});
	}

	@Nullable PeerLink find(PeerConnection connection) {
		for (PeerLink link : all(connection.remote().vm())) {
			if (link.connection() == connection) {
				return link;
			}
		}
		return null;
	}

	Optional<PeerLink> best(VmId vm) {
		return all(vm).stream().min(Comparator.comparing(PeerLink::silence));
	}

	boolean connected(VmId vm) {
		return this.links.containsKey(vm);
	}

	List<VmId> vms() {
		return List.copyOf(this.links.keySet());
	}

	List<PeerLink> all() {
		return this.links.values().stream().flatMap(List::stream).toList();
	}

	private List<PeerLink> all(VmId vm) {
		return this.links.getOrDefault(vm, List.of());
	}

}
