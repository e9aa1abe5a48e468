package io.bilberryvalve.standins;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.standins.application.ApplicationStandin;
import io.bilberryvalve.standins.http.Route;
import org.kohsuke.args4j.Option;

/**
 * Sub-command that serves an application runner.
 */
public final class ApplicationCommand extends ServeOptions {

	@Option(name = "--delay-ms", usage = "time in ms from the arrival of a call to its execution")
	private long delayMillis = 20;

	@Option(name = "--deduplicate", usage = "execute each idempotency key only once")
	private boolean deduplicate;

	@Override
	List<Route> routes() {
		ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
		return new ApplicationStandin(this.deduplicate,
				(task) -> scheduler.schedule(task, this.delayMillis, TimeUnit.MILLISECONDS))
			.routes();
	}

}
