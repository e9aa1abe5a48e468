package io.bilberryvalve.standins.demo;

/**
 * A sub-command of the demo's callers.
 */
interface DemoCommand {

	/**
	 * Runs the command.
	 * @return whether everything happened as expected
	 * @throws Exception if a server does not answer or the command is interrupted
	 */
	boolean run() throws Exception;

}
