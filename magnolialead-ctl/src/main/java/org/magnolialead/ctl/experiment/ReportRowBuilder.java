package org.magnolialead.ctl.experiment;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Builds a row of the report; values are printed in the order in which they are added.
 */
final class ReportRowBuilder {

	private static final double PERCENT = 100;

	private final Map<String, Double> values = new LinkedHashMap<>();

	ReportRowBuilder percent(String name, double share) {
		return value(name + " %", share * PERCENT);
	}

	ReportRowBuilder value(String name, double value) {
		this.values.put(name, value);
		return this;
	}

	ExperimentReport.Row build(String measure, String situation, Object policy) {
		return new ExperimentReport.Row(measure, situation, policy.toString(), this.values);
	}

}
