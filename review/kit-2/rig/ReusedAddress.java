package rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Two model runners of one service crash for good at the same time, and 2 s later their
 * addresses go to new runners of another service, whose cards are smaller. Counted are the
 * orders to hold more layers than the card of a runner holds.
 */
final class ReusedAddress {

	private static final int REUSE_AFTER_MS = 2000;

	private static final String LARGE = "huvo11a";

	private static final String SMALL = "dele69a";

	private static final int LARGE_CARDS = 5;

	private static final int SMALL_CARDS = 14;

	private ReusedAddress() {
	}

	public static void main(String[] arguments) {
		Rig.run(ReusedAddress::run);
	}

	private static String service(String name) {
		return "{\"Name\":\"" + name + "\",\"HealthPath\":\"/health\",\"MaxConns\":1138,\"Protocol\":\"h1\","
				+ "\"Tls\":false,\"Engine\":{\"Slots\":134,\"KvCapacityTokens\":69791,\"KvTokenBytes\":845373,"
				+ "\"LinkMbps\":480000.0,\"Stride\":2,\"Models\":[{\"Name\":\"m-" + name
				+ "\",\"pace\":1.0,\"LoadS\":14.0,\"WarmS\":1.0}],\"step_ms\":0.85,\"per_seq_ms\":0.00547,"
				+ "\"context_per_k\":0.00734,\"read_per_s\":196000.0,\"pairs_per_m\":0.166,\"chunk\":512,"
				+ "\"report_lag_ms\":200.0,\"LoadsPerS\":0.0,\"loads_at_once\":6,\"delays\":[],"
				+ "\"usual\":{\"prompt\":772,\"answer\":172},\"Layers\":" + EngineRunner.LAYERS + ",\"LayerMb\":"
				+ EngineRunner.LAYER_MB + ".0,\"ActBytes\":42268,\"PipeMbps\":9000.0,\"Kinds\":["
				+ "{\"Name\":\"h100\",\"Mb\":72000.0,\"pace\":1.4,\"ReadX\":1.0},"
				+ "{\"Name\":\"t4\",\"Mb\":14400.0,\"pace\":15.0,\"ReadX\":15.0}]}}";
	}

	private static String route(String name, String prefix, String service) {
		return "{\"Name\":\"" + name + "\",\"Host\":\"" + Caller.HOST + "\",\"Prefix\":\"" + prefix
				+ "\",\"Kind\":\"streaming\",\"TimeoutMs\":20000,\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\""
				+ service + "\",\"MaxAttempts\":2,\"Public\":false,\"Sticky\":true,\"Resumable\":true,"
				+ "\"TargetGapMs\":200}";
	}

	private static int run(Rig rig) throws Exception {
		Store store = rig.add(new Store(rig.ip()));
		store.put("op", "config", Site.config(7, route("r-one", "/lohu930/", LARGE) + ","
				+ route("r-two", "/pufi791/", SMALL), service(LARGE) + "," + service(SMALL)));
		List<EngineRunner> large = new ArrayList<>();
		List<EngineRunner> all = new ArrayList<>();
		for (int i = 0; i < LARGE_CARDS; i++) {
			large.add(engine(rig, store, "i-" + (10 + i), LARGE, rig.ip()));
		}
		all.addAll(large);
		for (int i = 0; i < SMALL_CARDS; i++) {
			all.add(engine(rig, store, "i-" + (20 + i), SMALL, rig.ip()));
		}
		// The heartbeats of the first runner come 0.6 s after those of the second one.
		large.get(1).list();
		Rig.sleepUntil(Rig.now() + 600);
		long firstBeat = Rig.now();
		large.get(0).list();
		for (EngineRunner runner : all.subList(2, all.size())) {
			runner.list();
		}
		rig.add(new Daemon(rig, "front-sul-a-1", "sul-a", store.address(), 2000)).start().awaitReady();
		awaitLayers(all);
		for (EngineRunner runner : large) {
			rig.note("runner " + runner.id + " holds layers " + runner.from() + " to " + runner.to());
		}
		if (large.get(0).from() != large.get(4).from() || large.get(1).from() == large.get(4).from()) {
			throw new IllegalStateException("the layers are placed in another way than expected");
		}
		long beats = (Rig.now() + 3000 - firstBeat) / Rig.HEARTBEAT_MS;
		Rig.sleepUntil(firstBeat + beats * Rig.HEARTBEAT_MS + 100);
		if (rig.trouble) {
			List<String> addresses = List.of(large.get(0).address(), large.get(1).address());
			rig.note("runners " + large.get(0).id + " and " + large.get(1).id + " crash for good");
			large.get(0).crash();
			large.get(1).crash();
			Rig.sleepUntil(Rig.now() + REUSE_AFTER_MS + 50);
			for (int i = 0; i < addresses.size(); i++) {
				EngineRunner next = engine(rig, store, "i-" + (40 + i), SMALL, addresses.get(i));
				all.add(next);
				rig.note("runner " + next.id + " of " + SMALL + " has the address of " + large.get(i).id);
				next.list();
			}
		}
		Rig.sleepUntil(Rig.now() + 8000);
		int broken = 0;
		for (EngineRunner runner : all) {
			if (runner.tooLarge != null) {
				rig.note("runner " + runner.id + " was ordered to hold " + runner.tooLarge);
				broken++;
			}
		}
		return broken;
	}

	private static EngineRunner engine(Rig rig, Store store, String id, String service, String address)
			throws IOException {
		boolean large = service.equals(LARGE);
		return rig.add(new EngineRunner(rig, store, id, service, "sul-a", large ? "h100" : "t4",
				large ? 72_000 : 14_400, 14_000, address));
	}

	private static void awaitLayers(List<EngineRunner> runners) {
		long end = Rig.now() + 30_000;
		while (Rig.now() < end && runners.stream().anyMatch((runner) -> runner.to() == 0)) {
			Rig.sleepUntil(Rig.now() + 100);
		}
		Rig.sleepUntil(Rig.now() + 4000);
	}

}
