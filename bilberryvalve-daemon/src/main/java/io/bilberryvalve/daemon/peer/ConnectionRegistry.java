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
final class ConnectionRegistry {

	private final Clock clock;

	private final Duration silence;

	private final ConcurrentHashMap<VmId, List<MonitoredConnection>> connections = new ConcurrentHashMap<>();

	ConnectionRegistry(Clock clock, Duration silence) {
		this.clock = clock;
		this.silence = silence;
	}

	/**
	 * Adds a connection and closes the connections to earlier incarnations of the same
	 * VM.
	 * @param connection connection that has been authenticated
	 * @return the connection with its monitoring
	 */
	MonitoredConnection add(PeerConnection connection) {
		MonitoredConnection monitored = new MonitoredConnection(connection, this.clock, this.silence);
		this.connections.merge(connection.remote().vm(), List.of(monitored),
				(old, added) -> Stream.concat(old.stream(), added.stream()).toList());
		long incarnation = connection.remote().incarnation();
		for (MonitoredConnection other : all(connection.remote().vm())) {
			if (other.connection().remote().incarnation() < incarnation) {
				other.connection().close("a later incarnation of the VM has connected");
			}
		}
		return monitored;
	}

	/**
	 * Removes a connection. Does nothing if it is not registered.
	 * @param connection connection that has ended
	 */
	void remove(PeerConnection connection) {
		this.connections.computeIfPresent(connection.remote().vm(), (vm, old) -> {
			List<MonitoredConnection> rest = old.stream()
				.filter((monitored) -> monitored.connection() != connection)
				.toList();
			return rest.isEmpty() ? null : rest;
		});
	}

	@Nullable MonitoredConnection find(PeerConnection connection) {
		for (MonitoredConnection monitored : all(connection.remote().vm())) {
			if (monitored.connection() == connection) {
				return monitored;
			}
		}
		return null;
	}

	Optional<MonitoredConnection> mostRecentlyAnswered(VmId vm) {
		return all(vm).stream().min(Comparator.comparing(MonitoredConnection::silence));
	}

	boolean isConnected(VmId vm) {
		return this.connections.containsKey(vm);
	}

	List<VmId> vms() {
		return List.copyOf(this.connections.keySet());
	}

	List<MonitoredConnection> all() {
		return this.connections.values().stream().flatMap(List::stream).toList();
	}

	private List<MonitoredConnection> all(VmId vm) {
		return this.connections.getOrDefault(vm, List.of());
	}

}
