package org.magnolialead.ctl.experiment;

import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;

/**
 * Measures the longest gap in acknowledged writes when a primary crashes.
 */
final class FailoverMeasurement {

	private static final int CRASHES_PER_GROUP = 10;

	private static final long LAG_MILLISECONDS = 50;

	private static final long LEASE_NANOSECONDS = 2_500 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	private static final int HEARTBEAT_INTERVAL_NANOSECONDS = (int) (200 * VirtualClock.NANOSECONDS_PER_MILLISECOND);

	private static final long MINIMUM_CRASH_DELAY_MILLISECONDS = 2_000;

	private static final long OBSERVATION_MILLISECONDS = 8_000;

	private static final List<RequestClass> LOAD = List.of(new RequestClass("confirmation", true, 100),
			new RequestClass("scheduling", true, 40), new RequestClass("browsing", false, 100));

	private final ExperimentSettings settings;

	FailoverMeasurement(ExperimentSettings settings) {
		this.settings = settings;
	}

	List<ExperimentReport.Row> rows() {
		List<ExperimentReport.Row> rows = new ArrayList<>();
		for (PromotionPolicy policy : PromotionPolicy.values()) {
			Histogram gapsNanoseconds = new Histogram(3);
			for (int i = 0; i < CRASHES_PER_GROUP; i++) {
				long seedOffset = 1_000L * i;
				this.settings.forEachGroup((seed) -> gapNanoseconds(policy, seed + seedOffset))
					.forEach(gapsNanoseconds::recordValue);
			}
			rows.add(new ReportRowBuilder().value("median ms", milliseconds(gapsNanoseconds.getValueAtPercentile(50)))
				.value("greatest ms", milliseconds(gapsNanoseconds.getMaxValue()))
				.value("failures", gapsNanoseconds.getTotalCount())
				.build("Gap in acknowledged writes at a primary failure", "crash of the primary", policy));
		}
		return rows;
	}

	private static double milliseconds(long nanoseconds) {
		return nanoseconds / (double) VirtualClock.NANOSECONDS_PER_MILLISECOND;
	}

	long gapNanoseconds(PromotionPolicy policy, long seed) {
		Simulation simulation = new Simulation(this.settings.deployment(), seed, LAG_MILLISECONDS);
		long[] leaseAges = simulation.random()
			.ints(Deployment.DAEMONS, 0, HEARTBEAT_INTERVAL_NANOSECONDS)
			.asLongStream()
			.toArray();
		SimulatedOwner owner = new SimulatedOwner(simulation.group(), OwnerPolicies.MAGNOLIALEAD,
				new SlotShare.Full(this.settings.deployment()),
				(sealedAt) -> policy.earliestReservation(sealedAt, leaseAges));
		simulation.serveWith(owner);
		long[] lastAcknowledgedAt = new long[1];
		long[] longestGapNanoseconds = new long[1];
		owner.onAcknowledged((request) -> {
			long now = simulation.clock().now();
			longestGapNanoseconds[0] = Math.max(longestGapNanoseconds[0],
					(lastAcknowledgedAt[0] != 0) ? now - lastAcknowledgedAt[0] : 0);
			lastAcknowledgedAt[0] = now;
		});
		long crashAtMilliseconds = MINIMUM_CRASH_DELAY_MILLISECONDS + simulation.random().nextInt(1_000);
		simulation.clock()
			.schedule(crashAtMilliseconds * VirtualClock.NANOSECONDS_PER_MILLISECOND,
					() -> simulation.group().member(SimulatedGroup.FIRST_PRIMARY).crash());
		simulation.run(LOAD, crashAtMilliseconds + OBSERVATION_MILLISECONDS);
		return Math.max(longestGapNanoseconds[0], simulation.clock().now() - lastAcknowledgedAt[0]);
	}

	/** Policy that determines when a replica may be promoted. */
	enum PromotionPolicy {

		/** As soon as the owner has sealed the term. */
		MAGNOLIALEAD {

			@Override
			long earliestReservation(long sealedAt, long[] leaseAges) {
				return sealedAt;
			}

		},

		/**
		 * After the leases of all daemons for the term have expired, as is necessary if
		 * every daemon can acknowledge writes.
		 */
		LEASES_RUN_OUT {

			@Override
			long earliestReservation(long sealedAt, long[] leaseAges) {
				long earliestReservation = sealedAt;
				for (long age : leaseAges) {
					earliestReservation = Math.max(earliestReservation, sealedAt - age + LEASE_NANOSECONDS);
				}
				return earliestReservation;
			}

		};

		abstract long earliestReservation(long sealedAt, long[] leaseAges);

	}

}
