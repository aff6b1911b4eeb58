package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.Rank;
import org.magnolialead.engine.owner.ReadPolicy;
import org.magnolialead.engine.owner.SchedulingPolicy;

/**
 * Share of reads that replicas serve under ordinary load.
 */
final class ReplicaReadMeasure {

	private static final List<Long> LAGS = List.of(5L, 50L, 500L);

	private static final long WARM_UP_MILLISECONDS = 2_000;

	/** Half of the writes are followed by a read, which replaces another session read. */
	private static final double READS_AFTER_WRITE = 0.5;

	private static final List<RequestClass> LOAD = RequestClass.ORDINARY.stream()
		.map(ReplicaReadMeasure::withoutReadsAfterWrite)
		.toList();

	private final ExperimentSettings settings;

	ReplicaReadMeasure(ExperimentSettings settings) {
		this.settings = settings;
	}

	private static RequestClass withoutReadsAfterWrite(RequestClass requestClass) {
		double writes = RequestClass.ORDINARY.stream()
			.filter((other) -> other.write() && other.profileName().equals(requestClass.profileName()))
			.mapToDouble(RequestClass::perSecond)
			.sum();
		double replaced = requestClass.write() ? 0 : writes * READS_AFTER_WRITE;
		return requestClass.times(1 - replaced / requestClass.perSecond());
	}

	List<ExperimentReport.Row> rows() {
		List<ExperimentReport.Row> rows = new ArrayList<>();
		for (long lag : LAGS) {
			for (ReadPolicy policy : ReadPolicy.values()) {
				Tally tally = measure(lag, policy);
				rows.add(new Figures().percent("browsing from replicas", tally.replicaShare(Rank.BROWSING))
					.percent("session reads from replicas", tally.sessionReplicaShare())
					.percent("reads right after a write from replicas", tally.replicaShareAfterWrite())
					.value("browsing p50 ms", tally.latencyMilliseconds(Rank.BROWSING, 50))
					.value("browsing p99 ms", tally.latencyMilliseconds(Rank.BROWSING, 99))
					.value("urgent p99 ms", tally.latencyMilliseconds(Rank.URGENT, 99))
					.percent("all within deadline", tally.service())
					.row("Reads from replicas, ordinary load", "lag " + lag + " ms", policy));
			}
		}
		return rows;
	}

	Tally measure(long lagMilliseconds, ReadPolicy policy) {
		Tally sum = new Tally();
		this.settings.forEachGroup((seed) -> measure(lagMilliseconds, policy, seed)).forEach(sum::add);
		return sum;
	}

	private Tally measure(long lagMilliseconds, ReadPolicy policy, long seed) {
		Simulation simulation = new Simulation(this.settings.deployment(), seed, lagMilliseconds);
		simulation.servedBy(new SimulatedOwner(simulation.group(), new Policies(SchedulingPolicy.RANK_FLOORS, policy),
				new SlotShare.Whole(this.settings.deployment()), PromotionGate.AT_ONCE));
		simulation.readAfterWrite(READS_AFTER_WRITE);
		simulation.run(LOAD, WARM_UP_MILLISECONDS);
		Tally tally = simulation.run(LOAD, this.settings.milliseconds());
		simulation.finish();
		return tally;
	}

}
