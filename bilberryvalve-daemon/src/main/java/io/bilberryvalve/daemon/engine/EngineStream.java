package io.bilberryvalve.daemon.engine;

/**
 * Reading end of a stream that an engine sends.
 */
public interface EngineStream {

	/**
	 * Requests more data of the stream. Without a call nothing is read, so the flow
	 * control of the connection slows the engine down to the speed of the reader.
	 */
	void read();

	/**
	 * Stops receiving the stream. {@link EngineClient#cancelStream} makes the engine stop
	 * computing it.
	 */
	void close();

}
