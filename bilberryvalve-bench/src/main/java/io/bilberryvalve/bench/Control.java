package io.bilberryvalve.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.bench.control.ControlPlane;

/**
 * Control traffic, processor time and heap of a daemon by the number of daemons, teams
 * and runners. Whole control planes run in one process: peer network, demand exchange and
 * configuration.
 */
final class Control implements Experiment {

	private static final int[] DAEMONS = { 4, 8, 16, 32, 48 };

	private static final int[] TEAMS = { 10, 40, 160, 640 };

	private static final int FEW_TEAMS = 20;

	private static final int FEW_DAEMONS = 8;

	private static final Duration WINDOW = Duration.ofSeconds(5);

	@Override
	public String name() {
		return "control";
	}

	@Override
	public List<Figure> run(List<Long> seeds) throws Exception {
		List<Figure> figures = new ArrayList<>();
		for (int daemons : DAEMONS) {
			figures.addAll(measure("daemons_" + daemons, daemons, FEW_TEAMS));
		}
		for (int teams : TEAMS) {
			figures.addAll(measure("teams_" + teams, FEW_DAEMONS, teams));
		}
		return figures;
	}

	private static List<Figure> measure(String suffix, int daemons, int teams) throws Exception {
		try (ControlPlane plane = ControlPlane.start(daemons, teams)) {
			ControlPlane.Usage usage = plane.measure(WINDOW);
			String note = daemons + " daemons, " + teams + " teams with demand at each daemon";
			return List.of(Figure.of("control_bytes_" + suffix, usage.bytesPerSecond(), "B/s", note),
					Figure.of("control_core_" + suffix, usage.corePercent(), "%", note),
					Figure.of("control_heap_" + suffix, usage.heapMegabytes(), "MB", note));
		}
	}

}
