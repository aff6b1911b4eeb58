package org.magnolialead.engine.owner;

import java.util.Map;

import org.magnolialead.api.FleetConfiguration;
import org.magnolialead.api.Rank;

/**
 * Settings of a scheduler that operators change at run time.
 *
 * @param rankFloors share of slot time from 0 to 1 that a rank keeps while it has work
 * waiting; the sum is at most {@link FleetConfiguration#MAXIMUM_FLOOR_SUM}
 * @param queueLimit maximum number of waiting items per rank
 */
public record SchedulerSettings(Map<Rank, Double> rankFloors, int queueLimit) {

	public SchedulerSettings {
		rankFloors = Map.copyOf(rankFloors);
		double floorSum = rankFloors.values().stream().mapToDouble(Double::doubleValue).sum();
		boolean invalid = rankFloors.values().stream().anyMatch((floor) -> floor < 0 || floor.isNaN());
		if (invalid || floorSum > FleetConfiguration.MAXIMUM_FLOOR_SUM) {
			throw new IllegalArgumentException(
					"rank floors must not be negative and their sum must be at most %s, found %s"
						.formatted(FleetConfiguration.MAXIMUM_FLOOR_SUM, rankFloors));
		}
		if (queueLimit < 1) {
			throw new IllegalArgumentException("queueLimit must be positive, found " + queueLimit);
		}
	}

	/**
	 * Takes the settings from a fleet configuration.
	 * @param configuration the configuration in force
	 * @return the settings of every scheduler
	 */
	public static SchedulerSettings of(FleetConfiguration configuration) {
		return new SchedulerSettings(configuration.rankFloors(), configuration.queueLimit());
	}

	/**
	 * Returns the share of slot time that a rank keeps.
	 * @param rank the rank
	 * @return the share from 0 to 1
	 */
	public double floorOf(Rank rank) {
		return this.rankFloors.getOrDefault(rank, 0.0);
	}

}
