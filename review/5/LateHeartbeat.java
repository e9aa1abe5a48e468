import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store loses the answer to one heartbeat of a runner and performs the write seconds
 * later. Meanwhile the runner has reported that it is draining.
 */
final class LateHeartbeat {

	private static final long DRAIN_MILLIS = 2000;

	private static final long HEARTBEAT_MILLIS = 1200;

	/** Longest time from a lost call to its late execution. */
	private static final long LATEST_MILLIS = 6000;

	private static final long STABLE_WINDOW_MILLIS = 3000;

	/** Time for which the draining runner serves beyond DrainMs. */
	private static final long LONGER_MILLIS = 1200;

	/** Added to the bound, for timers of this test. */
	private static final long MARGIN_MILLIS = 50;

	private final Map<String, Long> sent = new ConcurrentHashMap<>();

	private final Map<String, String> through = new ConcurrentHashMap<>();

	private final Map<String, String> answers = new ConcurrentHashMap<>();

	private final AtomicInteger served = new AtomicInteger();

	public static void main(String[] arguments) {
		LateHeartbeat test = new LateHeartbeat();
		Kit.run(arguments[0], test::play);
	}

	private int play(boolean trouble) throws Exception {
		Kit.Store store = new Kit.Store("127.0.40.1");
		store.put("op", "config", Kit.configuration(1, 600, false));
		List<Kit.Runner> runners = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			Kit.Runner runner = new Kit.Runner("127.0.42." + i, "i-order-" + i, "orders", "sul-" + (char) ('a' + i - 1),
					6, store);
			runner.workMillis = 100;
			runner.register(HEARTBEAT_MILLIS);
			runners.add(runner);
			Kit.sleep(300);
		}
		List<Kit.Daemon> daemons = new ArrayList<>();
		String[] zones = { "sul-a", "sul-a", "sul-b", "sul-c" };
		for (int i = 1; i <= 4; i++) {
			Kit.Daemon daemon = new Kit.Daemon("127.0.41." + i, "front-" + i, zones[i - 1], store.address());
			daemon.start();
			daemons.add(daemon);
		}
		for (Kit.Daemon daemon : daemons) {
			if (!daemon.awaitReady(20_000)) {
				Kit.say("daemon %s does not get ready", daemon.name);
				return Kit.NOT_RUN;
			}
		}
		for (Kit.Daemon daemon : daemons) {
			for (int i = 0; i < 3; i++) {
				Kit.start("client", () -> placeOrders(daemon));
			}
		}
		Kit.sleep(4000);
		int before = this.served.get();
		Kit.Runner leaving = runners.get(1);
		awaitHeartbeats(leaving, 1);
		Kit.sleep(200);
		long lost = Kit.now();
		String heartbeat = leaving.loseHeartbeat(trouble);
		Kit.say("a heartbeat of %s is written, call lost: %s", leaving.id, trouble);
		awaitHeartbeats(leaving, 3);
		leaving.state = "draining";
		leaving.writeEntry();
		long draining = Kit.now();
		Kit.say("%s reports that it is draining, %d ms after that heartbeat", leaving.id, draining - lost);
		awaitHeartbeats(leaving, 2);
		if (trouble) {
			store.put("servers", leaving.id, heartbeat);
			Kit.say("the store performs the lost write, %d ms after the call and %d ms after the report",
					Kit.now() - lost, Kit.now() - draining);
		}
		if (draining - lost < STABLE_WINDOW_MILLIS || Kit.now() - lost > LATEST_MILLIS) {
			return Kit.NOT_RUN;
		}
		Kit.sleepUntil(draining + DRAIN_MILLIS + LONGER_MILLIS);
		leaving.unregister();
		leaving.close();
		Kit.say("%s exits", leaving.id);
		Kit.sleep(2000);
		return judge(leaving, draining, before);
	}

	private static void awaitHeartbeats(Kit.Runner runner, int count) {
		for (int i = 0; i < count; i++) {
			long last = runner.lastBeat;
			while (runner.lastBeat == last) {
				Kit.sleep(5);
			}
		}
		Kit.sleep(10);
	}

	private int judge(Kit.Runner leaving, long draining, int before) {
		int late = 0;
		int cut = 0;
		long last = 0;
		Map<String, Integer> perDaemon = new TreeMap<>();
		for (Kit.Run run : List.copyOf(leaving.runs)) {
			Long at = this.sent.get(run.id());
			if (at != null && at > draining + DRAIN_MILLIS + MARGIN_MILLIS) {
				late++;
				last = Math.max(last, at);
				perDaemon.merge(this.through.get(run.id()), 1, Integer::sum);
				String answer = this.answers.getOrDefault(run.id(), "no answer");
				cut += answer.contains(" 200 ") ? 0 : 1;
				Kit.record("%s reached %s, sent %d ms after it was draining, answered: %s", run.id(), leaving.id,
						at - draining, answer);
			}
		}
		Kit.say("%d orders were served before; %d reached the runner that were sent more than %d ms after it was draining"
				+ " %s, the last one %d ms after; %d of them were cut off when it exited", before, late, DRAIN_MILLIS,
				perDaemon, (late > 0) ? last - draining : 0, cut);
		if (before < 100) {
			return Kit.NOT_RUN;
		}
		return (late > 0) ? Kit.BROKEN : Kit.HELD;
	}

	private void placeOrders(Kit.Daemon daemon) {
		while (true) {
			try (Kit.Client client = new Kit.Client(daemon.host, daemon.frontPort)) {
				while (true) {
					String id = Kit.nextId();
					this.through.put(id, daemon.name);
					this.sent.put(id, Kit.now());
					Kit.Message answer = client.call("POST", "/order/1", Kit.headers(id, 600), new byte[600], 2000);
					this.answers.put(id, answer.first);
					Kit.record("client of %s: %s answered %s", daemon.name, id, answer.first);
					if (answer.status() == 200) {
						this.served.incrementAndGet();
					}
					Kit.sleep(120);
				}
			}
			catch (IOException ex) {
				Kit.record("client of %s: %s", daemon.name, ex);
				Kit.sleep(100);
			}
		}
	}

}
