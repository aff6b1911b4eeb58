package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.Rank;
import org.magnolialead.engine.owner.ReadPolicy;
import org.magnolialead.engine.owner.SchedulingPolicy;

/**
 * Measures the service of each rank while one rank receives ten times its ordinary load,
 * and in the first second afterwards.
 */
final class OverloadMeasurement {

	private static final long WARM_UP_MILLISECONDS = 2_000;

	private static final long RECOVERY_MILLISECONDS = 1_000;

	private static final long LAG_MILLISECONDS = 50;

	private static final long MEMBERS = 3;

	private final ExperimentSettings settings;

	OverloadMeasurement(ExperimentSettings settings) {
		this.settings = settings;
	}

	List<ExperimentReport.Row> rows() {
		List<ExperimentReport.Row> rows = new ArrayList<>();
		for (Rank overloadedRank : List.of(Rank.BROWSING, Rank.URGENT)) {
			for (SchedulingPolicy policy : SchedulingPolicy.values()) {
				Phases phases = measure(overloadedRank, policy);
				for (Rank rank : Rank.values()) {
					rows.add(row(overloadedRank, policy, rank, phases));
				}
				rows.add(total(overloadedRank, policy, phases.overload()));
			}
		}
		return rows;
	}

	private static ExperimentReport.Row row(Rank overloadedRank, SchedulingPolicy policy, Rank rank, Phases phases) {
		PhaseStatistics overload = phases.overload();
		return new ReportRowBuilder().percent("within deadline", overload.withinDeadlineShare(rank))
			.percent("slot time", overload.slotTimeShare(rank))
			.percent("refused", overload.refusedShare(rank))
			.percent("dropped", overload.expiredShare(rank))
			.percent("late", overload.lateShare(rank))
			.value("p50 ms", overload.latencyMilliseconds(rank, 50))
			.value("p99 ms", overload.latencyMilliseconds(rank, 99))
			.value("refusal p99 ms", overload.refusalMilliseconds(rank, 99))
			.percent("first second after", phases.recovery().withinDeadlineShare(rank))
			.build(measureName(overloadedRank), rank.toString(), policy);
	}

	private ExperimentReport.Row total(Rank overloadedRank, SchedulingPolicy policy, PhaseStatistics overload) {
		double available = (double) this.settings.groups() * MEMBERS * Deployment.SLOTS_PER_MEMBER
				* this.settings.milliseconds() * VirtualClock.NANOSECONDS_PER_MILLISECOND;
		return new ReportRowBuilder().percent("slot time used", overload.slotNanoseconds() / available)
			.percent("of it for late work", overload.lateSlotTimeShare())
			.percent("within deadline", overload.withinDeadlineShare())
			.build(measureName(overloadedRank), "all", policy);
	}

	private static String measureName(Rank overloadedRank) {
		return "Tenfold flood of " + overloadedRank;
	}

	Phases measure(Rank overloadedRank, SchedulingPolicy policy) {
		Phases sum = new Phases(new PhaseStatistics(), new PhaseStatistics());
		this.settings.forEachGroup((seed) -> measure(overloadedRank, policy, seed)).forEach(sum::add);
		return sum;
	}

	private Phases measure(Rank overloadedRank, SchedulingPolicy policy, long seed) {
		Simulation simulation = new Simulation(this.settings.deployment(), seed, LAG_MILLISECONDS);
		simulation
			.serveWith(new SimulatedOwner(simulation.group(), new OwnerPolicies(policy, ReadPolicy.FRESH_REPLICAS),
					new SlotShare.Full(this.settings.deployment()), PromotionTiming.IMMEDIATE));
		simulation.run(RequestClass.ORDINARY, WARM_UP_MILLISECONDS);
		PhaseStatistics overload = simulation.run(RequestClass.tenfold(overloadedRank), this.settings.milliseconds());
		PhaseStatistics recovery = simulation.run(RequestClass.ORDINARY, RECOVERY_MILLISECONDS);
		simulation.finish();
		return new Phases(overload, recovery);
	}

	/**
	 * Statistics of the overload and of the first second after it.
	 *
	 * @param overload requests that arrived during the overload
	 * @param recovery requests that arrived in the first second after it
	 */
	record Phases(PhaseStatistics overload, PhaseStatistics recovery) {

		void add(Phases other) {
			this.overload.add(other.overload);
			this.recovery.add(other.recovery);
		}

	}

}
