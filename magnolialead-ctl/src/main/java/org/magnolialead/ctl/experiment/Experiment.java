package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs every measure beside its baselines in virtual time. Equal settings give equal
 * reports.
 */
public final class Experiment {

	private final ExperimentSettings settings;

	/**
	 * Creates an experiment.
	 * @param settings what to measure
	 */
	public Experiment(ExperimentSettings settings) {
		this.settings = settings;
	}

	/**
	 * Runs all measures.
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
