package io.bilberryvalve.verification;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import kodkod.engine.satlab.SATFactory;

/**
 * An Alloy specification from the test resources.
 */
final class Specification {

	/** Kept, because the log manager forgets the level of an unreferenced logger. */
	private static final Logger SOLVER_LOG = Logger.getLogger("kodkod");

	static {
		SOLVER_LOG.setLevel(Level.WARNING);
	}

	private final String name;

	private final CompModule module;

	private Specification(String name, CompModule module) {
		this.name = name;
		this.module = module;
	}

	/**
	 * Reads a specification.
	 * @param name file name without extension
	 * @return the specification
	 */
	static Specification read(String name) {
		try (InputStream in = Specification.class.getResourceAsStream(name + ".als")) {
			String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
			return new Specification(name, CompUtil.parseEverything_fromString(A4Reporter.NOP, text));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Searches for an instance of a command: a counterexample of a check, an example of a
	 * run.
	 * @param label name of the command
	 * @return whether there is one within the scope that the command states
	 */
	boolean hasInstance(String label) {
		A4Options options = new A4Options();
		options.solver = SATFactory.get("sat4j");
		A4Solution solution = TranslateAlloyToKodkod.execute_command(A4Reporter.NOP, this.module.getAllReachableSigs(),
				command(label), options);
		return solution.satisfiable();
	}

	private Command command(String label) {
		return this.module.getAllCommands()
			.stream()
			.filter((command) -> command.label.equals(label))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("specification " + this.name + " has no command " + label));
	}

}
