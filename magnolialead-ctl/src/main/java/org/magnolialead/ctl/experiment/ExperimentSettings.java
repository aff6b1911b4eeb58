package org.magnolialead.ctl.experiment;

import java.util.List;
import java.util.Objects;
import java.util.function.LongFunction;
import java.util.stream.LongStream;

/**
 * Settings of an experiment.
 *
 * @param deployment simulated deployment
 * @param groups number of database groups, each of which is run with its own seed
 * @param seconds measured time of each run in seconds of virtual time
 * @param seed random seed of the first group; each further group uses the next number
 */
public record ExperimentSettings(Deployment deployment, int groups, int seconds, long seed) {

	public ExperimentSettings {
		Objects.requireNonNull(deployment, "deployment must not be null");
		if (groups < 1 || seconds < 1) {
			throw new IllegalArgumentException(
					"groups and seconds must be positive, found %d and %d".formatted(groups, seconds));
		}
	}

	long milliseconds() {
		return this.seconds * 1_000L;
	}

	/**
	 * Runs all groups in parallel, each with its own seed.
	 * @param <T> type of the results
	 * @param run runs one group with the given seed
	 * @return the results in the order of the groups
	 */
	<T> List<T> forEachGroup(LongFunction<T> run) {
		return LongStream.range(0, this.groups).parallel().mapToObj((group) -> run.apply(this.seed + group)).toList();
	}

}
