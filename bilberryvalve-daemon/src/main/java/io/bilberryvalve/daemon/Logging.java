package io.bilberryvalve.daemon;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Configures the log back end: one line of key=value pairs for each event on standard
 * error.
 */
final class Logging {

	private static final String FORMAT = "time=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%n";

	private Logging() {
	}

	/**
	 * Configures the back end and returns a logger. Must be called before any other
	 * logger is created.
	 * @param type class that logs
	 * @return the logger
	 */
	static System.Logger configure(Class<?> type) {
		System.setProperty("java.util.logging.manager", Manager.class.getName());
		System.setProperty("java.util.logging.SimpleFormatter.format", FORMAT);
		for (Handler handler : Logger.getLogger("").getHandlers()) {
			handler.setFormatter(new SimpleFormatter());
		}
		Logger.getLogger("io.servicetalk").setLevel(Level.WARNING);
		Logger.getLogger("io.netty").setLevel(Level.WARNING);
		return System.getLogger(type.getName());
	}

	/**
	 * Keeps the handlers during shutdown. The default manager removes them when the
	 * shutdown starts, so that the log would lose the events of a drain.
	 */
	public static final class Manager extends LogManager {

		@Override
		public void reset() {
		}

	}

}
