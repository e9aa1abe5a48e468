package io.bilberryvalve.daemon.engine;

/**
 * Control of a stream that an engine sends.
 */
public interface EngineStream {

	/**
	 * Reads more of the stream. Nothing is read without a request, so that a slow reader
	 * stops the engine through the flow control of the connection.
	 */
	void read();

	/**
	 * Closes the stream on this side.
	 */
	void close();

}
