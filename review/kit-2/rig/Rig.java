package rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/** One run of a case: its record, its clock, its folder, and what it has started. */
final class Rig implements AutoCloseable {

	/** The bounds of the small sites. */
	static final int STABLE_WINDOW_MS = 3000;

	static final int DRAIN_MS = 2000;

	static final int GRACE_S = 8;

	static final int HEARTBEAT_MS = 1200;

	private static final long START = System.nanoTime();

	private final PrintWriter record;

	private final Path folder;

	private final List<AutoCloseable> started = new ArrayList<>();

	private final String net = "127." + (1 + new Random().nextInt(250)) + "." + new Random().nextInt(250) + ".";

	private int addresses;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	Rig(Path record) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(record), true);
		this.folder = Files.createTempDirectory("case");
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		note("trouble " + this.trouble);
	}

	/** Milliseconds since the start of this program. */
	static long now() {
		return (System.nanoTime() - START) / 1_000_000;
	}

	static void sleepUntil(long millis) {
		try {
			Thread.sleep(Math.max(0, millis - now()));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	void note(String text) {
		synchronized (this.record) {
			this.record.printf("%7d %s%n", now(), text);
		}
	}

	Path folder() {
		return this.folder;
	}

	/** A loopback address of its own for a machine, a runner or the store. */
	String ip() {
		return this.net + (1 + this.addresses++);
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
			return socket.getLocalPort();
		}
	}

	<T extends AutoCloseable> T add(T part) {
		synchronized (this.started) {
			this.started.add(part);
		}
		return part;
	}

	@Override
	public void close() {
		synchronized (this.started) {
			for (AutoCloseable part : this.started) {
				try {
					part.close();
				}
				catch (Exception ex) {
					note("not closed: " + ex);
				}
			}
			this.started.clear();
		}
		try (Stream<Path> files = Files.exists(this.folder) ? Files.walk(this.folder) : Stream.empty()) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/** Body of a case. */
	interface Body {

		/** Returns how often the rule was broken. */
		int run(Rig rig) throws Exception;

	}

	/** Runs a case and exits with 0 if the rule held, 1 if not, and 2 if it could not run. */
	static void run(Body body) {
		int code = 2;
		try (Rig rig = new Rig(Path.of(System.getProperty("record", "record.txt")))) {
			try {
				int broken = body.run(rig);
				code = (broken > 0) ? 1 : 0;
				rig.note("broken " + broken);
				System.out.println((broken > 0) ? "rule broken: " + broken : "rule held");
			}
			catch (Exception ex) {
				rig.note("could not run: " + ex);
				System.out.println("could not run: " + ex);
			}
		}
		catch (IOException ex) {
			System.out.println("could not run: " + ex);
		}
		System.exit(code);
	}

}
