package io.bilberryvalve.cli;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/**
 * Prints reports.
 */
public final class ReportCommand extends LocalOptions {

	@Argument(metaVar = "REPORT", required = true, handler = SubCommandHandler.class, usage = "burn")
	@SubCommands(@SubCommand(name = "burn", impl = BurnCommand.class))
	@Nullable Command report;

	@Override
	public String summary() {
		return "report burn: prints a report";
	}

	@Override
	public Command chosen() {
		return (this.report != null) ? this.report : this;
	}

	@Override
	public ExitCode run(Console console) {
		throw new CommandException(ExitCode.USAGE, "no report is named; write report burn");
	}

}
