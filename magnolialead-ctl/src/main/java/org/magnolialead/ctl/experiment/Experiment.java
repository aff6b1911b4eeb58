package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs all measurements and their baselines in virtual time. Equal settings produce equal
 * reports.
 */
public final class Experiment {

	private final ExperimentSettings settings;

	/**
	 * Creates an experiment.
	 * @param settings settings of the measurements
	 */
	public Experiment(ExperimentSettings settings) {
		this.settings = settings;
	}

	/**
	 * Runs all measurements.
	 * @return the report
	 */
	public ExperimentReport run() {
		List<ExperimentReport.Row> rows = new ArrayList<>();
		rows.addAll(new ReplicaReadMeasurement(this.settings).rows());
		rows.addAll(new FailoverMeasurement(this.settings).rows());
		rows.addAll(new OverloadMeasurement(this.settings).rows());
		rows.addAll(new SlotSharingMeasurement(this.settings).rows());
		return new ExperimentReport(this.settings, rows);
	}

}
