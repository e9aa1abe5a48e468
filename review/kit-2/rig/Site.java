package rig;

/** Configuration documents like those of a small site. */
final class Site {

	static final String APP = "wuno96b";

	private Site() {
	}

	static String config(long version, String routes, String services) {
		return "{\"Version\":" + version + ",\"Routes\":[" + routes + "],\"Services\":[" + services
				+ "],\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
				+ "\"IdleTimeoutMs\":15000},\"Tenants\":[{\"Name\":\"hule930\",\"ApiKeys\":[\"" + Caller.KEY
				+ "\"],\"Priority\":1}]}";
	}

	static String app() {
		return "{\"Name\":\"" + APP + "\",\"HealthPath\":\"/health\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}";
	}

	static String route(String name, String prefix, String kind, int timeout, int target, int attempts,
			String service) {
		return "{\"Name\":\"" + name + "\",\"Host\":\"" + Caller.HOST + "\",\"Prefix\":\"" + prefix
				+ "\",\"Kind\":\"" + kind + "\",\"TimeoutMs\":" + timeout + ",\"TargetLatencyMs\":" + target
				+ ",\"Priority\":2,\"Service\":\"" + service + "\",\"MaxAttempts\":" + attempts
				+ ",\"Public\":false,\"Sticky\":false,\"Resumable\":false}";
	}

	/** Routes of the order and stock application of the small site. */
	static String appRoutes() {
		return route("r-order", "/puxa403/", "non_idempotent", 600, 121, 1, APP) + ","
				+ route("r-stock", "/cufi504/", "idempotent", 600, 121, 2, APP);
	}

}
