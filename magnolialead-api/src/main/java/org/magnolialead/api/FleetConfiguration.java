package org.magnolialead.api;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Configuration of the whole fleet that operators change at run time.
 *
 * @param version number of accepted changes
 * @param profiles profiles by name
 * @param rankFloors share of slot time from 0 to 1 that a rank keeps while it has work
 * waiting; the sum is at most 0.5
 * @param queueLimit greatest number of requests that wait per group and rank
 * @param routes routes of sessions by database
 */
public record FleetConfiguration(long version, Map<String, Profile> profiles, Map<Rank, Double> rankFloors,
		int queueLimit, RouteTable routes) {

	/**
	 * Greatest sum of all rank floors; the rest serves the most urgent work.
	 */
	public static final double MAXIMUM_FLOOR_SUM = 0.5;

	/**
	 * Default limit of waiting requests per group and rank.
	 */
	public static final int DEFAULT_QUEUE_LIMIT = 512;

	public FleetConfiguration {
		profiles = Map.copyOf(profiles);
		routes = (routes != null) ? routes : RouteTable.EMPTY;
		rankFloors = Map.copyOf(rankFloors);
		// Sums in the order of the ranks: the iteration order of the map differs between
		// processes, and a sum rounded differently would be accepted by some only.
		double floorSum = 0;
		for (Rank rank : Rank.values()) {
			floorSum += rankFloors.getOrDefault(rank, 0.0);
		}
		boolean negative = rankFloors.values().stream().anyMatch((floor) -> floor < 0 || floor.isNaN());
		if (negative || floorSum > MAXIMUM_FLOOR_SUM) {
			throw new IllegalArgumentException(
					"rank floors must not be negative and their sum must be at most %s, found %s"
						.formatted(MAXIMUM_FLOOR_SUM, new TreeMap<>(rankFloors)));
		}
		if (queueLimit < 1) {
			throw new IllegalArgumentException("queueLimit must be positive, found " + queueLimit);
		}
	}

	/**
	 * Creates a configuration without routes.
	 * @param version version of the configuration
	 * @param profiles profiles by name
	 * @param rankFloors guaranteed share of slot time by rank
	 * @param queueLimit greatest number of requests that wait at one owner
	 */
	public FleetConfiguration(long version, Map<String, Profile> profiles, Map<Rank, Double> rankFloors,
			int queueLimit) {
		this(version, profiles, rankFloors, queueLimit, RouteTable.EMPTY);
	}

	/**
	 * Returns the configuration of a fleet that was never configured.
	 * @return version 0 with four profiles that suit the three ranks
	 */
	public static FleetConfiguration initial() {
		Profile confirmation = new Profile("confirmation", Rank.URGENT, FreshnessRule.SESSION, 0, false, true);
		Profile scheduling = new Profile("scheduling", Rank.STANDARD, FreshnessRule.SESSION, 0, true, true);
		Profile browsing = new Profile("browsing", Rank.BROWSING, FreshnessRule.MAXIMUM_AGE, 5_000, true, true);
		Profile latest = new Profile("latest", Rank.STANDARD, FreshnessRule.LATEST, 0, true, true);
		return new FleetConfiguration(0, Map.of(confirmation.name(), confirmation, scheduling.name(), scheduling,
				browsing.name(), browsing, latest.name(), latest), Map.of(Rank.STANDARD, 0.15, Rank.BROWSING, 0.10),
				DEFAULT_QUEUE_LIMIT);
	}

	/**
	 * Returns the share of slot time that a rank keeps.
	 * @param rank the rank
	 * @return the share from 0 to 1
	 */
	public double floorOf(Rank rank) {
		return this.rankFloors.getOrDefault(Objects.requireNonNull(rank, "rank must not be null"), 0.0);
	}

}
