package io.bilberryvalve.bench.served;

import java.util.ArrayDeque;
import java.util.Deque;

import io.bilberryvalve.bench.EventLoop;

/**
 * A runner that computes layer steps one after the other at a fixed rate, as an engine
 * with continuous batching does in sum over its streams.
 */
public final class ServedRunner {

	private final EventLoop loop;

	private final double layersPerSecond;

	private final Deque<Step> queue = new ArrayDeque<>();

	private boolean busy;

	private boolean failed;

	private double queuedLayers;

	private double busySeconds;

	/**
	 * Creates a runner.
	 * @param loop runs its events
	 * @param layersPerSecond layers that it computes a second
	 */
	public ServedRunner(EventLoop loop, double layersPerSecond) {
		this.loop = loop;
		this.layersPerSecond = layersPerSecond;
	}

	/**
	 * Computes layers.
	 * @param layers number of layers, which may be a fraction for a prefill
	 * @param done called at the end; never called if the runner fails before
	 */
	public void compute(double layers, Runnable done) {
		if (this.failed) {
			return;
		}
		this.queue.add(new Step(layers, done));
		this.queuedLayers += layers;
		if (!this.busy) {
			next();
		}
	}

	/**
	 * Stops the runner for good. Its queue is lost.
	 */
	public void fail() {
		this.failed = true;
		this.queue.clear();
	}

	/**
	 * Returns the layers that wait or are being computed.
	 * @return number of layers
	 */
	public double queuedLayers() {
		return this.queuedLayers;
	}

	/**
	 * Returns the time spent computing.
	 * @return time in seconds
	 */
	public double busySeconds() {
		return this.busySeconds;
	}

	private void next() {
		Step step = this.queue.poll();
		this.busy = step != null;
		if (step == null) {
			return;
		}
		double seconds = step.layers / this.layersPerSecond;
		this.loop.after(seconds, () -> finish(step, seconds));
	}

	private void finish(Step step, double seconds) {
		if (this.failed) {
			return;
		}
		this.busySeconds += seconds;
		this.queuedLayers -= step.layers;
		step.done.run();
		next();
	}

	/**
	 * A unit of work.
	 *
	 * @param layers number of layers
	 * @param done called at the end
	 */
	private record Step(double layers, Runnable done) {

	}

}
