package io.bilberryvalve.daemon;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Configures the logging back end, which writes each event to standard error as one line
 * of key=value pairs.
 */
final class Logging {

	private static final String FORMAT = "time=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%n";

	private Logging() {
	}

	/**
	 * Configures the back end and returns a logger. Must be called before any other
	 * logger is created.
	 * @param type class that the logger is named after
	 * @return the logger of the class
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
	 * Log manager that keeps its handlers during the shutdown of the JVM. The default
	 * manager removes them when the shutdown begins, and the events of a drain would be
	 * lost.
	 */
	public static final class Manager extends LogManager {

		@Override
		public void reset() {
		}

	}

}
