package org.magnolialead.ctl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.kohsuke.args4j.Option;
import org.magnolialead.ctl.experiment.Deployment;
import org.magnolialead.ctl.experiment.Experiment;
import org.magnolialead.ctl.experiment.ExperimentReport;
import org.magnolialead.ctl.experiment.ExperimentSettings;

/**
 * Compares the policies with their baselines in simulations.
 */
final class ExperimentCommand implements CtlCommand {

	private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

	@Option(name = "--deployment", usage = "deployment to simulate")
	private Deployment deployment = Deployment.FOUNDATION;

	@Option(name = "--groups", usage = "number of database groups")
	private int groups = 3;

	@Option(name = "--seconds", usage = "measured part of each run in seconds of virtual time")
	private int seconds = 20;

	@Option(name = "--seed", usage = "seed of the random number generator")
	private long seed = 20_240_611L;

	@Option(name = "--json", metaVar = "FILE", usage = "file for the report as JSON")
	private Path json;

	@Override
	public void run(CtlContext context) {
		ExperimentReport report = new Experiment(settings()).run();
		context.output().print(report.text());
		if (this.json != null) {
			write(report);
		}
	}

	private ExperimentSettings settings() {
		try {
			return new ExperimentSettings(this.deployment, this.groups, this.seconds, this.seed);
		}
		catch (IllegalArgumentException ex) {
			throw CtlException.wrongArguments(ex.getMessage());
		}
	}

	private void write(ExperimentReport report) {
		try {
			Files.write(this.json, JSON.writeValueAsBytes(report));
		}
		catch (IOException ex) {
			throw CtlException.failure("cannot write " + this.json + ": " + ex.getMessage());
		}
	}

}
