package io.bilberryvalve.bench;

import java.util.List;

/**
 * A measurement that can be run alone.
 */
public interface Experiment {

	/**
	 * Returns the name.
	 * @return the name, for example {@code decision}
	 */
	String name();

	/**
	 * Runs the experiment.
	 * @param seeds seeds of the repetitions; a figure is the median over them
	 * @return the figures
	 * @throws Exception if the experiment cannot run
	 */
	List<Figure> run(List<Long> seeds) throws Exception;

}
