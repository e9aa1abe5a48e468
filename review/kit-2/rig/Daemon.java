package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry daemon, started with the command of the deploy file. */
final class Daemon implements AutoCloseable {

	private static final Pattern RUN = Pattern.compile("run = \"([^\"]+)\"");

	final String name;

	final String ip;

	final String zone;

	final String front;

	private final String ready;

	private final Path settings;

	private final Path log;

	private final Path root;

	private Process process;

	Daemon(Rig rig, String name, String zone, String storeAddress, int storeReads) throws IOException {
		this.name = name;
		this.zone = zone;
		this.ip = rig.ip();
		this.root = Path.of(System.getProperty("root")).toAbsolutePath().normalize();
		this.front = this.ip + ":" + Rig.freePort(this.ip);
		this.ready = this.ip + ":" + Rig.freePort(this.ip);
		String directory = this.ip + ":" + Rig.freePort(this.ip);
		int internal = Rig.freePort(this.ip);
		this.settings = rig.folder().resolve(name + ".json");
		this.log = rig.folder().resolve(name + ".out");
		Files.writeString(this.settings, """
				{"NodeName":"%s","Role":"entry","MachineClass":"front","Serves":["front","directory"],"Ip":"%s",
				"Zone":"%s","Region":"rs-sul","Zones":{"sul-a":"rs-sul","sul-b":"rs-sul","sul-c":"rs-sul"},
				"Listen":{"Front":"%s","Ready":"%s","Directory":"%s"},"InternalPorts":[%d,%d],"Seeds":[],
				"Bootstrap":true,"InLossBudget":false,
				"Limits":{"CpuShare":0.75,"Cores":2,"MemoryMb":690,"MaxFds":8200,"LinkMbps":2000.0,"DiskMb":0},
				"DataDir":null,"Discovery":"platform","Entry":"directory","HeartbeatMs":1200,
				"Contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform",
				"layers"],"FaultTolerance":{"Machines":1,"Zones":0,"Regions":0},
				"Bounds":{"SeedLagS":3,"ReuseAfterS":2,"StableWindowMs":3000,"AckMs":4000,"CatchUpS":4,"DrainMs":2000,
				"GraceS":8,"LossSlackMs":200,"ConfigApplyMs":2000,"RollbackSlackMs":250,"OuterMs":5000,
				"RevokeStrict":false,"RevokeMs":5000,"BudgetRatio":0.2,"BudgetWindowS":10,"BudgetSlack":202,
				"RecoveryS":12,"PassMs":120,"RetryAfterS":0,"stall_ms":2000,"RequireFence":true,"ttl_max_s":5},
				"Platform":{"Address":"%s","form":"table","WritesPerS":400,"ReadsPerS":%d,"TxMs":5.0,
				"PartWritesS":200,"RowBytes":65536,"Across":false,"HistoryS":20,"BlobBytes":8388608,"BlobMs":25.0,
				"BlobMbS":80.0}}
				""".formatted(name, this.ip, zone, this.front, this.ready, directory, internal, internal + 15,
				storeAddress, storeReads));
	}

	Daemon start() throws IOException {
		Matcher run = RUN.matcher(Files.readString(this.root.resolve("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("the deploy file names no command");
		}
		List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
		ProcessBuilder builder = new ProcessBuilder(words).directory(this.root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("BILBERRYVALVE_NODE_FILE", this.settings.toString());
		this.process = builder.start();
		return this;
	}

	/** Waits until the daemon says that it is ready. */
	Daemon awaitReady() throws Exception {
		long end = Rig.now() + 30_000;
		while (Rig.now() < end && this.process.isAlive()) {
			if (isReady()) {
				return this;
			}
			Thread.sleep(50);
		}
		throw new IOException(this.name + " did not become ready: " + log());
	}

	boolean isReady() {
		int colon = this.ready.lastIndexOf(':');
		try (Socket socket = new Socket(InetAddress.getByName(this.ip),
				Integer.parseInt(this.ready.substring(colon + 1)))) {
			socket.setSoTimeout(1000);
			socket.getOutputStream()
				.write("GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n".getBytes());
			return Http.read(socket.getInputStream(), true).status() == 200;
		}
		catch (IOException | RuntimeException ex) {
			return false;
		}
	}

	String log() throws IOException {
		return Files.exists(this.log) ? Files.readString(this.log) : "";
	}

	long pid() {
		return this.process.pid();
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	/** Sends a signal to the process of this daemon. */
	void signal(String name) throws Exception {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	void kill() throws Exception {
		this.process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
	}

	@Override
	public void close() throws Exception {
		if (this.process != null) {
			kill();
		}
	}

}
