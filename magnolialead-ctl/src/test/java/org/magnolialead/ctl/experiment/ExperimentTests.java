package org.magnolialead.ctl.experiment;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Rank;
import org.magnolialead.ctl.experiment.ExperimentReport.Row;
import org.magnolialead.ctl.experiment.FailoverMeasurement.PromotionPolicy;
import org.magnolialead.engine.owner.Dispatch;
import org.magnolialead.engine.owner.ReadPolicy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against experiments that measure properties of the model instead of the
 * policies.
 */
class ExperimentTests {

	private static final long SEED = 7;

	private static final ExperimentSettings SETTINGS = new ExperimentSettings(Deployment.FOUNDATION, 2, 2, SEED);

	/**
	 * Guards against reports that are not reproducible, and against a measurement without
	 * its baseline.
	 */
	@Test
	void equalSettingsGiveEqualReportsWithBaselines() {
		System.out.println("seed " + SEED);
		ExperimentSettings small = new ExperimentSettings(Deployment.STEINWERKSTATT, 2, 1, SEED);
		ExperimentReport first = new Experiment(small).run();
		assertThat(new Experiment(small).run()).isEqualTo(first);
		assertThat(first.rows()).extracting(Row::policy)
			.contains("PRIMARY_ONLY", "LEASES_RUN_OUT", "FIRST_COME", "STATIC_SHARES", "LEASED_SHARES");
	}

	/**
	 * Guards against replica reads that see a record before the replication lag has
	 * passed, and against a lag that delays the receipt of the record and thereby
	 * confirmations.
	 */
	@Test
	void replicaReadsSeeWritesAfterTheLag() {
		VirtualClock clock = new VirtualClock();
		SimulatedGroup group = new SimulatedGroup(clock, new Random(SEED), Deployment.FOUNDATION,
				100 * VirtualClock.NANOSECONDS_PER_MILLISECOND);
		LogPosition position = group.write(group.member(SimulatedGroup.FIRST_PRIMARY));
		SimulatedMember replica = group.member("member-2");
		clock.advance(Deployment.FOUNDATION.oneWayDelayNanoseconds());
		assertThat(replica.received()).isEqualTo(position);
		clock.advance(49 * VirtualClock.NANOSECONDS_PER_MILLISECOND);
		assertThat(replica.applied()).isEqualTo(LogPosition.NONE);
		clock.advance(102 * VirtualClock.NANOSECONDS_PER_MILLISECOND);
		assertThat(replica.applied()).isEqualTo(position);
	}

	/**
	 * Guards against a member that runs more statements than it has slots, which would
	 * favour the baselines with many connections.
	 */
	@Test
	void statementsBeyondTheSlotsWait() {
		VirtualClock clock = new VirtualClock();
		SimulatedMember member = new SimulatedMember(clock, "member-1");
		int[] ended = new int[1];
		for (int i = 0; i < 5; i++) {
			member.execute(VirtualClock.NANOSECONDS_PER_MILLISECOND, () -> ended[0]++);
		}
		clock.advance(VirtualClock.NANOSECONDS_PER_MILLISECOND);
		assertThat(ended[0]).isEqualTo(Deployment.SLOTS_PER_MEMBER);
	}

	/**
	 * Guards against a daemon that uses more or less than its share of slot time.
	 */
	@Test
	void shareOfSlotTimeRefillsAtItsRate() {
		PartialSlotShare share = new PartialSlotShare(0.1, 3);
		long now = 0;
		long used = 0;
		for (int i = 0; i < 10_000; i++) {
			now += VirtualClock.NANOSECONDS_PER_MILLISECOND;
			if (share.availableSlots("a", now) > 0) {
				used += VirtualClock.NANOSECONDS_PER_MILLISECOND;
				share.recordUsage(new Dispatch<>(request(), Rank.BROWSING, "a", now),
						VirtualClock.NANOSECONDS_PER_MILLISECOND);
			}
		}
		assertThat((double) used / now).isBetween(0.19, 0.21);
	}

	/**
	 * Guards against a failover that does not complete, and against a baseline that does
	 * not wait for the leases to expire.
	 */
	@Test
	void failoverBaselineWaitsForLeasesToExpire() {
		FailoverMeasurement measure = new FailoverMeasurement(SETTINGS);
		long magnolialeadGap = measure.gapNanoseconds(PromotionPolicy.MAGNOLIALEAD, SEED);
		long leaseGap = measure.gapNanoseconds(PromotionPolicy.LEASES_RUN_OUT, SEED);
		assertThat(magnolialeadGap).isBetween(1_000 * VirtualClock.NANOSECONDS_PER_MILLISECOND,
				2_000 * VirtualClock.NANOSECONDS_PER_MILLISECOND);
		assertThat(leaseGap - magnolialeadGap).isBetween(2_300 * VirtualClock.NANOSECONDS_PER_MILLISECOND,
				2_700 * VirtualClock.NANOSECONDS_PER_MILLISECOND);
	}

	/**
	 * Guards against a replica share that includes reads of the primary.
	 */
	@Test
	void primaryOnlyReadsUseNoReplica() {
		PhaseStatistics statistics = new ReplicaReadMeasurement(SETTINGS).measure(5, ReadPolicy.PRIMARY_ONLY);
		assertThat(List.of(statistics.replicaShare(Rank.BROWSING), statistics.sessionReplicaShare())).containsOnly(0.0);
	}

	private static Request request() {
		return new Request(RequestClass.ORDINARY.get(0), "", 0, 0, new PhaseStatistics(), false);
	}

}
