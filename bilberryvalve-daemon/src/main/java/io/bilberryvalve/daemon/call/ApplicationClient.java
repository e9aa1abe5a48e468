package io.bilberryvalve.daemon.call;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.ApplicationRunner;

/**
 * Sends calls to application runners.
 */
@FunctionalInterface
public interface ApplicationClient {

	/**
	 * Sends a call once. The stage never completes exceptionally.
	 * @param runner the runner
	 * @param call the call
	 * @param timeout how long to wait for the complete answer
	 * @return the reply
	 */
	CompletionStage<Reply> send(ApplicationRunner runner, ApplicationCall call, Duration timeout);

	/**
	 * What is known after sending a call.
	 */
	sealed interface Reply {

		/**
		 * The runner answered completely.
		 *
		 * @param result the answer
		 */
		record Answered(CallResult result) implements Reply {

		}

		/**
		 * The connection was refused before any byte was sent.
		 *
		 * @param detail what happened
		 */
		record NotSent(String detail) implements Reply {

		}

		/**
		 * The call may have been executed.
		 *
		 * @param detail what happened
		 */
		record Lost(String detail) implements Reply {

		}

	}

}
