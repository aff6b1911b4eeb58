package org.magnolialead.ctl.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Results of the measurements and their baselines.
 *
 * @param settings settings of the measurements
 * @param rows the results, grouped by measure
 */
public record ExperimentReport(ExperimentSettings settings, List<Row> rows) {

	public ExperimentReport {
		rows = List.copyOf(rows);
	}

	/**
	 * Returns the report as text for a terminal.
	 * @return the text, which ends with a line separator
	 */
	public String text() {
		StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%s, %d groups, %d s, seed %d%n",
				this.settings.deployment(), this.settings.groups(), this.settings.seconds(), this.settings.seed()));
		String measure = "";
		for (Row row : this.rows) {
			if (!row.measure().equals(measure)) {
				measure = row.measure();
				text.append(String.format(Locale.ROOT, "%n%s%n", measure));
			}
			text.append(row.text());
		}
		return text.toString();
	}

	/**
	 * Result of one policy in one situation.
	 *
	 * @param measure name of the measure
	 * @param situation load or fault to which the policy was exposed
	 * @param policy the policy or baseline
	 * @param values values by name and unit, in the order of printing
	 */
	public record Row(String measure, String situation, String policy, Map<String, Double> values) {

		private String text() {
			String figures = this.values.entrySet()
				.stream()
				.map((entry) -> String.format(Locale.ROOT, "%s %.1f", entry.getKey(), entry.getValue()))
				.collect(Collectors.joining(", "));
			return String.format(Locale.ROOT, "  %-34s %-15s %s%n", this.situation, this.policy, figures);
		}

	}

}
