package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.Rank;
import org.magnolialead.engine.owner.ReadPolicy;
import org.magnolialead.engine.owner.SchedulingPolicy;

/**
 * Service of each rank in a flood of ten times the ordinary load of one rank and in the
 * first second after it.
 */
final class FloodMeasure {

	private static final long WARM_UP_MILLISECONDS = 2_000;

	private static final long AFTER_MILLISECONDS = 1_000;

	private static final long LAG_MILLISECONDS = 50;

	private static final long MEMBERS = 3;

	private final ExperimentSettings settings;

	FloodMeasure(ExperimentSettings settings) {
		this.settings = settings;
	}

	List<ExperimentReport.Row> rows() {
		List<ExperimentReport.Row> rows = new ArrayList<>();
		for (Rank flooded : List.of(Rank.BROWSING, Rank.URGENT)) {
			for (SchedulingPolicy policy : SchedulingPolicy.values()) {
				Phases phases = measure(flooded, policy);
				for (Rank rank : Rank.values()) {
					rows.add(row(flooded, policy, rank, phases));
				}
				rows.add(total(flooded, policy, phases.flood()));
			}
		}
		return rows;
	}

	private static ExperimentReport.Row row(Rank flooded, SchedulingPolicy policy, Rank rank, Phases phases) {
		Tally flood = phases.flood();
		return new Figures().percent("within deadline", flood.service(rank))
			.percent("slot time", flood.slotShare(rank))
			.percent("refused", flood.refusedShare(rank))
			.percent("dropped", flood.expiredShare(rank))
			.percent("late", flood.lateShare(rank))
			.value("p50 ms", flood.latencyMilliseconds(rank, 50))
			.value("p99 ms", flood.latencyMilliseconds(rank, 99))
			.value("refusal p99 ms", flood.refusalMilliseconds(rank, 99))
			.percent("first second after", phases.after().service(rank))
			.row(measureName(flooded), rank.toString(), policy);
	}

	private ExperimentReport.Row total(Rank flooded, SchedulingPolicy policy, Tally flood) {
		double available = (double) this.settings.groups() * MEMBERS * Deployment.SLOTS_PER_MEMBER
				* this.settings.milliseconds() * VirtualTime.MILLISECOND;
		return new Figures().percent("slot time used", flood.slotTime() / available)
			.percent("of it for late work", flood.lateSlotShare())
			.percent("within deadline", flood.service())
			.row(measureName(flooded), "all", policy);
	}

	private static String measureName(Rank flooded) {
		return "Tenfold flood of " + flooded;
	}

	Phases measure(Rank flooded, SchedulingPolicy policy) {
		Phases sum = new Phases(new Tally(), new Tally());
		this.settings.forEachGroup((seed) -> measure(flooded, policy, seed)).forEach(sum::add);
		return sum;
	}

	private Phases measure(Rank flooded, SchedulingPolicy policy, long seed) {
		Simulation simulation = new Simulation(this.settings.deployment(), seed, LAG_MILLISECONDS);
		simulation.servedBy(new SimulatedOwner(simulation.group(), new Policies(policy, ReadPolicy.FRESH_REPLICAS),
				new SlotShare.Whole(this.settings.deployment()), PromotionGate.AT_ONCE));
		simulation.run(RequestClass.ORDINARY, WARM_UP_MILLISECONDS);
		Tally flood = simulation.run(RequestClass.tenfold(flooded), this.settings.milliseconds());
		Tally after = simulation.run(RequestClass.ORDINARY, AFTER_MILLISECONDS);
		simulation.finish();
		return new Phases(flood, after);
	}

	/**
	 * Counts of the flood and of the first second after it.
	 *
	 * @param flood requests that arrived during the flood
	 * @param after requests that arrived in the first second after it
	 */
	record Phases(Tally flood, Tally after) {

		void add(Phases other) {
			this.flood.add(other.flood);
			this.after.add(other.after);
		}

	}

}
