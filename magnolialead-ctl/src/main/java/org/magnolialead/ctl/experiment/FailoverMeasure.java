package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Gap in acknowledged writes when a primary fails.
 */
final class FailoverMeasure {

	private static final int FAILURES_PER_GROUP = 10;

	private static final long LAG_MILLISECONDS = 50;

	private static final long LEASE_NANOSECONDS = 2_500 * VirtualTime.MILLISECOND;

	private static final int HEARTBEAT_NANOSECONDS = (int) (200 * VirtualTime.MILLISECOND);

	private static final long BEFORE_MILLISECONDS = 2_000;

	private static final long AFTER_MILLISECONDS = 8_000;

	private static final List<RequestClass> LOAD = List.of(new RequestClass("confirmation", true, 100),
			new RequestClass("scheduling", true, 40), new RequestClass("browsing", false, 100));

	private final ExperimentSettings settings;

	FailoverMeasure(ExperimentSettings settings) {
		this.settings = settings;
	}

	List<ExperimentReport.Row> rows() {
		List<ExperimentReport.Row> rows = new ArrayList<>();
		for (Baseline baseline : Baseline.values()) {
			Histogram gaps = new Histogram(3);
			for (int i = 0; i < FAILURES_PER_GROUP; i++) {
				long offset = 1_000L * i;
				this.settings.forEachGroup((seed) -> gapNanoseconds(baseline, seed + offset))
					.forEach(gaps::recordValue);
			}
			rows.add(new Figures().value("median ms", milliseconds(gaps.getValueAtPercentile(50)))
				.value("greatest ms", milliseconds(gaps.getMaxValue()))
				.value("failures", gaps.getTotalCount())
				.row("Gap in acknowledged writes at a primary failure", "crash of the primary", baseline));
		}
		return rows;
	}

	private static double milliseconds(long nanoseconds) {
		return nanoseconds / (double) VirtualTime.MILLISECOND;
	}

	long gapNanoseconds(Baseline baseline, long seed) {
		Simulation simulation = new Simulation(this.settings.deployment(), seed, LAG_MILLISECONDS);
		long[] leaseAges = simulation.random()
			.ints(Deployment.DAEMONS, 0, HEARTBEAT_NANOSECONDS)
			.asLongStream()
			.toArray();
		SimulatedOwner owner = new SimulatedOwner(simulation.group(), Policies.MAGNOLIALEAD,
				new SlotShare.Whole(this.settings.deployment()), (sealedAt) -> baseline.opensAt(sealedAt, leaseAges));
		simulation.servedBy(owner);
		long[] last = new long[1];
		long[] greatest = new long[1];
		owner.acknowledged((request) -> {
			long now = simulation.time().now();
			greatest[0] = Math.max(greatest[0], (last[0] != 0) ? now - last[0] : 0);
			last[0] = now;
		});
		long crash = BEFORE_MILLISECONDS + simulation.random().nextInt(1_000);
		simulation.time()
			.after(crash * VirtualTime.MILLISECOND,
					() -> simulation.group().member(SimulatedGroup.FIRST_PRIMARY).crash());
		simulation.run(LOAD, crash + AFTER_MILLISECONDS);
		return Math.max(greatest[0], simulation.time().now() - last[0]);
	}

	/** When a replica may be promoted. */
	enum Baseline {

		/** As soon as the owner has sealed the term. */
		MAGNOLIALEAD {

			@Override
			long opensAt(long sealedAt, long[] leaseAges) {
				return sealedAt;
			}

		},

		/**
		 * After every daemon's lease of the term has run out, as if every daemon could
		 * acknowledge writes.
		 */
		LEASES_RUN_OUT {

			@Override
			long opensAt(long sealedAt, long[] leaseAges) {
				long opensAt = sealedAt;
				for (long age : leaseAges) {
					opensAt = Math.max(opensAt, sealedAt - age + LEASE_NANOSECONDS);
				}
				return opensAt;
			}

		};

		abstract long opensAt(long sealedAt, long[] leaseAges);

	}

}
