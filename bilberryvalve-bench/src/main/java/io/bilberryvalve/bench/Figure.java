package io.bilberryvalve.bench;

import java.util.Locale;

import org.jspecify.annotations.Nullable;

/**
 * A measured figure.
 *
 * @param name stable name, for example {@code throughput_ratio_load_1}
 * @param value the value
 * @param unit unit of the value, for example {@code ratio} or {@code us}
 * @param baseline value of the baseline in the same run, or {@code null} if there is none
 * @param note what was run
 */
public record Figure(String name, double value, String unit, @Nullable Double baseline, String note) {

	/**
	 * Creates a figure without a baseline.
	 * @param name stable name
	 * @param value the value
	 * @param unit unit of the value
	 * @param note what was run
	 * @return the figure
	 */
	public static Figure of(String name, double value, String unit, String note) {
		return new Figure(name, value, unit, null, note);
	}

	/**
	 * Returns the figure as key=value pairs.
	 * @return one line
	 */
	public String line() {
		return "name=" + this.name + " value=" + number(this.value) + " unit=" + this.unit + " baseline="
				+ ((this.baseline != null) ? number(this.baseline) : "none");
	}

	/**
	 * Returns the figure as a row of a Markdown table.
	 * @return one line
	 */
	public String row() {
		return "| `" + this.name + "` | " + number(this.value) + " | " + this.unit + " | "
				+ ((this.baseline != null) ? number(this.baseline) : "–") + " | " + this.note + " |";
	}

	private static String number(double value) {
		double size = Math.abs(value);
		if (size != 0 && (size < 0.01 || size >= 1e7)) {
			return String.format(Locale.ROOT, "%.3e", value);
		}
		return String.format(Locale.ROOT, (size < 10) ? "%.4f" : "%.1f", value);
	}

}
