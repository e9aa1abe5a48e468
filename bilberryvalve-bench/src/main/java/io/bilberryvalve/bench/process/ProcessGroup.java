package io.bilberryvalve.bench.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Processes started by this object. Only these are signalled and ended, at the latest
 * when this Java process ends.
 */
public final class ProcessGroup implements AutoCloseable {

	private static final long EXIT_SECONDS = 30;

	private final Map<String, Process> processes = new ConcurrentHashMap<>();

	private final Thread atExit = new Thread(this::endAll);

	private final Path directory;

	/**
	 * Creates a group.
	 * @param directory receives the output of the processes
	 */
	public ProcessGroup(Path directory) {
		this.directory = directory;
		Runtime.getRuntime().addShutdownHook(this.atExit);
	}

	/**
	 * Starts a Java process with the class path of this one.
	 * @param name name of the process and of its output file
	 * @param heapMegabytes largest heap in MB
	 * @param main main class
	 * @param arguments its arguments
	 * @throws IOException if the process cannot be started
	 */
	public void start(String name, int heapMegabytes, String main, List<String> arguments) throws IOException {
		List<String> command = new ArrayList<>(List.of(
				Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx" + heapMegabytes + "m",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), main));
		command.addAll(arguments);
		File output = this.directory.resolve(name + ".log").toFile();
		Process process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(output))
			.start();
		this.processes.put(name, process);
	}

	/**
	 * Returns the process identifier.
	 * @param name name of the process
	 * @return the identifier
	 */
	public long pid(String name) {
		return process(name).pid();
	}

	/**
	 * Ends a process at once, as a machine failure does.
	 * @param name name of the process
	 */
	public void kill(String name) {
		process(name).destroyForcibly();
	}

	/**
	 * Asks a process to end gracefully with SIGTERM.
	 * @param name name of the process
	 */
	public void terminate(String name) {
		process(name).destroy();
	}

	/**
	 * Stops the execution of a process until {@link #thaw(String)}.
	 * @param name name of the process
	 * @throws IOException if the signal cannot be sent
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void freeze(String name) throws IOException, InterruptedException {
		signal("-STOP", name);
	}

	/**
	 * Continues a frozen process.
	 * @param name name of the process
	 * @throws IOException if the signal cannot be sent
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void thaw(String name) throws IOException, InterruptedException {
		signal("-CONT", name);
	}

	/**
	 * Waits for the end of a process.
	 * @param name name of the process
	 * @return its exit code
	 * @throws InterruptedException if the thread is interrupted
	 */
	public int awaitExit(String name) throws InterruptedException {
		if (!process(name).waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
			throw new IllegalStateException("process " + name + " did not end within " + EXIT_SECONDS + " s");
		}
		return process(name).exitValue();
	}

	/**
	 * Returns what a process has printed.
	 * @param name name of the process
	 * @return its output
	 * @throws IOException if the file cannot be read
	 */
	public String output(String name) throws IOException {
		return Files.readString(this.directory.resolve(name + ".log"));
	}

	@Override
	public void close() {
		endAll();
		try {
			Runtime.getRuntime().removeShutdownHook(this.atExit);
		}
		catch (IllegalStateException ex) {
			// The hook runs already.
		}
	}

	private void endAll() {
		this.processes.values().forEach(Process::destroyForcibly);
	}

	private Process process(String name) {
		Process process = this.processes.get(name);
		if (process == null) {
			throw new IllegalArgumentException(
					"there is no process " + name + "; names are " + this.processes.keySet());
		}
		return process;
	}

	private void signal(String signal, String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", signal, Long.toString(pid(name))).start().waitFor();
	}

}
