package io.bilberryvalve.daemon.call;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.ApplicationRunner;

/**
 * Sends a call to an application runner.
 */
@FunctionalInterface
public interface ApplicationClient {

	/**
	 * Sends a call once, without retries. The stage never completes exceptionally.
	 * @param runner the runner
	 * @param call the call
	 * @param timeout maximum time until the response has arrived completely
	 * @return what is known about the call
	 */
	CompletionStage<Reply> send(ApplicationRunner runner, ApplicationCall call, Duration timeout);

	/**
	 * What is known about a call after an attempt to send it.
	 */
	sealed interface Reply {

		/**
		 * The complete response has arrived.
		 *
		 * @param result the response
		 */
		record Answered(CallResult result) implements Reply {

		}

		/**
		 * No connection was established, so no byte of the call was sent.
		 *
		 * @param detail cause, for diagnosis
		 */
		record NotSent(String detail) implements Reply {

		}

		/**
		 * No complete response arrived; the runner may have executed the call.
		 *
		 * @param detail cause, for diagnosis
		 */
		record Lost(String detail) implements Reply {

		}

	}

}
