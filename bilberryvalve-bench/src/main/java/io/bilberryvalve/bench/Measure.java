package io.bilberryvalve.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.LongStream;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Main class of {@code bin/measure}: runs experiments and prints a line for each figure.
 */
public final class Measure {

	private static final int EXIT_USAGE = 64;

	private static final int EXIT_FAILED = 1;

	@Argument(metaVar = "NAME", usage = "experiments to run; all without a name")
	private List<String> names = new ArrayList<>();

	@Option(name = "--seeds", metaVar = "N", usage = "number of repetitions, each with its own seed (default 5)")
	private int seeds = 5;

	@Option(name = "--markdown", metaVar = "FILE", usage = "also write a Markdown table")
	private @Nullable Path markdown;

	@Option(name = "--list", usage = "list the experiments")
	private boolean list;

	private Measure() {
	}

	/**
	 * Runs the experiments.
	 * @param arguments names and options
	 * @throws Exception if an experiment cannot run
	 */
	public static void main(String[] arguments) throws Exception {
		Logger.getLogger("").setLevel(Level.WARNING);
		int code = new Measure().run(arguments);
		if (code != 0) {
			System.exit(code);
		}
	}

	private int run(String[] arguments) throws Exception {
		CmdLineParser parser = new CmdLineParser(this);
		try {
			parser.parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			System.err.println(ex.getMessage());
			parser.printUsage(System.err);
			return EXIT_USAGE;
		}
		List<Experiment> all = Experiments.all();
		if (this.list) {
			all.forEach((experiment) -> print(experiment.name()));
			return 0;
		}
		List<Experiment> chosen = all.stream()
			.filter((experiment) -> this.names.isEmpty() || this.names.contains(experiment.name()))
			.toList();
		if (chosen.size() < this.names.size()) {
			System.err.println("unknown experiment among " + this.names + "; see --list");
			return EXIT_USAGE;
		}
		return measure(chosen);
	}

	private int measure(List<Experiment> chosen) throws IOException {
		List<Long> repetitions = LongStream.rangeClosed(1, this.seeds).boxed().toList();
		List<Figure> figures = new ArrayList<>();
		int code = 0;
		for (Experiment experiment : chosen) {
			try {
				List<Figure> measured = experiment.run(repetitions);
				measured.forEach((figure) -> print(figure.line()));
				figures.addAll(measured);
			}
			catch (UnsupportedOperationException ex) {
				print("name=" + experiment.name() + " value=not-measured reason=\"" + ex.getMessage() + "\"");
			}
			catch (Exception ex) {
				print("name=" + experiment.name() + " value=not-measured reason=\"" + ex + "\"");
				code = EXIT_FAILED;
			}
		}
		if (this.markdown != null) {
			write(this.markdown, figures);
		}
		return code;
	}

	private static void write(Path file, List<Figure> figures) throws IOException {
		List<String> lines = new ArrayList<>();
		lines.add("| figure | value | unit | baseline | what was run |");
		lines.add("| --- | --- | --- | --- | --- |");
		figures.forEach((figure) -> lines.add(figure.row()));
		Files.write(file, lines);
	}

	private static void print(String line) {
		System.out.println(line);
	}

}
