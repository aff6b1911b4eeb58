package org.magnolialead.api;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Fleet-wide configuration that operators can change at run time.
 *
 * @param version number of changes accepted so far
 * @param profiles profiles by name
 * @param rankFloors minimum share of slot time, from 0 to 1, that a rank receives while
 * it has waiting requests; the sum is at most 0.5
 * @param queueLimit maximum number of waiting requests per group and rank
 * @param routes routing rules for sessions
 */
public record FleetConfiguration(long version, Map<String, Profile> profiles, Map<Rank, Double> rankFloors,
		int queueLimit, RouteTable routes) {

	/**
	 * Maximum sum of all rank floors; the remaining slot time serves the most urgent
	 * requests.
	 */
	public static final double MAXIMUM_FLOOR_SUM = 0.5;

	/**
	 * Default maximum number of waiting requests per group and rank.
	 */
	public static final int DEFAULT_QUEUE_LIMIT = 512;

	public FleetConfiguration {
		profiles = Map.copyOf(profiles);
		routes = (routes != null) ? routes : RouteTable.EMPTY;
		rankFloors = Map.copyOf(rankFloors);
		// Sums in rank order: the iteration order of the map differs between processes,
		// and different rounding could make only some of them accept the configuration.
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
	 * @param rankFloors minimum share of slot time by rank
	 * @param queueLimit maximum number of waiting requests per group and rank
	 */
	public FleetConfiguration(long version, Map<String, Profile> profiles, Map<Rank, Double> rankFloors,
			int queueLimit) {
		this(version, profiles, rankFloors, queueLimit, RouteTable.EMPTY);
	}

	/**
	 * Returns the initial configuration of a fleet.
	 * @return a configuration of version 0 with four profiles that cover the three ranks
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
	 * Returns this configuration with other routes.
	 * @param other the routes
	 * @return the configuration
	 */
	public FleetConfiguration withRoutes(RouteTable other) {
		return new FleetConfiguration(this.version, this.profiles, this.rankFloors, this.queueLimit, other);
	}

	/**
	 * Returns the minimum share of slot time of a rank.
	 * @param rank the rank
	 * @return the share from 0 to 1; 0 if the rank has no floor
	 */
	public double floorOf(Rank rank) {
		return this.rankFloors.getOrDefault(Objects.requireNonNull(rank, "rank must not be null"), 0.0);
	}

}
