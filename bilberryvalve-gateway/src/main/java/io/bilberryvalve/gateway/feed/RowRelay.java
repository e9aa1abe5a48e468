package io.bilberryvalve.gateway.feed;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.wire.proto.RowMessages.RowsReply;
import io.bilberryvalve.wire.proto.RowMessages.RowsRequest;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests for rows to delegates. The method does not block.
 */
interface RowRelay {

	/**
	 * Asks a delegate for rows.
	 * @param delegate address of the delegate for states and rows
	 * @param request the request
	 * @param timeout longest time until the complete reply
	 * @return the reply, or {@code null} if none arrived in time or it is unreadable;
	 * never completes exceptionally
	 */
	CompletionStage<@Nullable RowsReply> ask(Address delegate, RowsRequest request, Duration timeout);

}
