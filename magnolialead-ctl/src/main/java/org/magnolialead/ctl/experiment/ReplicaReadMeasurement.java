package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.Rank;
import org.magnolialead.engine.owner.ReadPolicy;
import org.magnolialead.engine.owner.SchedulingPolicy;

/**
 * Measures the share of reads that replicas serve under ordinary load.
 */
final class ReplicaReadMeasurement {

	private static final List<Long> LAGS_MILLISECONDS = List.of(5L, 50L, 500L);

	private static final long WARM_UP_MILLISECONDS = 2_000;

	/**
	 * Share of the writes that are followed by a read of the same session, which replaces
	 * another session read.
	 */
	private static final double READ_AFTER_WRITE_SHARE = 0.5;

	private static final List<RequestClass> LOAD = RequestClass.ORDINARY.stream()
		.map(ReplicaReadMeasurement::withoutReadsAfterWrite)
		.toList();

	private final ExperimentSettings settings;

	ReplicaReadMeasurement(ExperimentSettings settings) {
		this.settings = settings;
	}

	private static RequestClass withoutReadsAfterWrite(RequestClass requestClass) {
		double writes = RequestClass.ORDINARY.stream()
			.filter((other) -> other.write() && other.profileName().equals(requestClass.profileName()))
			.mapToDouble(RequestClass::requestsPerSecond)
			.sum();
		double replaced = requestClass.write() ? 0 : writes * READ_AFTER_WRITE_SHARE;
		return requestClass.scaledBy(1 - replaced / requestClass.requestsPerSecond());
	}

	List<ExperimentReport.Row> rows() {
		List<ExperimentReport.Row> rows = new ArrayList<>();
		for (long lagMilliseconds : LAGS_MILLISECONDS) {
			for (ReadPolicy policy : ReadPolicy.values()) {
				PhaseStatistics statistics = measure(lagMilliseconds, policy);
				rows.add(
						new ReportRowBuilder().percent("browsing from replicas", statistics.replicaShare(Rank.BROWSING))
							.percent("session reads from replicas", statistics.sessionReplicaShare())
							.percent("reads right after a write from replicas", statistics.replicaShareAfterWrite())
							.value("browsing p50 ms", statistics.latencyMilliseconds(Rank.BROWSING, 50))
							.value("browsing p99 ms", statistics.latencyMilliseconds(Rank.BROWSING, 99))
							.value("urgent p99 ms", statistics.latencyMilliseconds(Rank.URGENT, 99))
							.percent("all within deadline", statistics.withinDeadlineShare())
							.build("Reads from replicas, ordinary load", "lag " + lagMilliseconds + " ms", policy));
			}
		}
		return rows;
	}

	PhaseStatistics measure(long lagMilliseconds, ReadPolicy policy) {
		PhaseStatistics sum = new PhaseStatistics();
		this.settings.forEachGroup((seed) -> measure(lagMilliseconds, policy, seed)).forEach(sum::add);
		return sum;
	}

	private PhaseStatistics measure(long lagMilliseconds, ReadPolicy policy, long seed) {
		Simulation simulation = new Simulation(this.settings.deployment(), seed, lagMilliseconds);
		simulation
			.serveWith(new SimulatedOwner(simulation.group(), new OwnerPolicies(SchedulingPolicy.RANK_FLOORS, policy),
					new SlotShare.Full(this.settings.deployment()), PromotionTiming.IMMEDIATE));
		simulation.readAfterWrite(READ_AFTER_WRITE_SHARE);
		simulation.run(LOAD, WARM_UP_MILLISECONDS);
		PhaseStatistics statistics = simulation.run(LOAD, this.settings.milliseconds());
		simulation.finish();
		return statistics;
	}

}
