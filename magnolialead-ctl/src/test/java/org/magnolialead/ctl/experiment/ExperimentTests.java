package org.magnolialead.ctl.experiment;

import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.Rank;
import org.magnolialead.ctl.experiment.ExperimentReport.Row;
import org.magnolialead.ctl.experiment.FailoverMeasure.Baseline;
import org.magnolialead.engine.owner.Dispatch;
import org.magnolialead.engine.owner.ReadPolicy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against experiments that measure the model instead of the policies.
 */
class ExperimentTests {

	private static final long SEED = 7;

	private static final ExperimentSettings SETTINGS = new ExperimentSettings(Deployment.FOUNDATION, 2, 2, SEED);

	/**
	 * Guards against reports that cannot be reproduced, and against a measure without its
	 * baseline.
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
	 * Guards against a replica whose reads see a record before its lag has passed, and
	 * against a lag that delays confirmations.
	 */
	@Test
	void readsOfReplicasSeeWritesAfterTheLag() {
		VirtualTime time = new VirtualTime();
		SimulatedGroup group = new SimulatedGroup(time, new Random(SEED), Deployment.FOUNDATION,
				100 * VirtualTime.MILLISECOND);
		LogPosition position = group.write(group.member(SimulatedGroup.FIRST_PRIMARY));
		SimulatedMember replica = group.member("member-2");
		time.run(Deployment.FOUNDATION.hopNanoseconds());
		assertThat(replica.received()).isEqualTo(position);
		time.run(49 * VirtualTime.MILLISECOND);
		assertThat(replica.applied()).isEqualTo(LogPosition.NONE);
		time.run(102 * VirtualTime.MILLISECOND);
		assertThat(replica.applied()).isEqualTo(position);
	}

	/**
	 * Guards against a member that runs more statements than it has slots, which would
	 * favour the baselines with many connections.
	 */
	@Test
	void statementsBeyondTheSlotsWait() {
		VirtualTime time = new VirtualTime();
		SimulatedMember member = new SimulatedMember(time, "member-1");
		int[] ended = new int[1];
		for (int i = 0; i < 5; i++) {
			member.execute(VirtualTime.MILLISECOND, () -> ended[0]++);
		}
		time.run(VirtualTime.MILLISECOND);
		assertThat(ended[0]).isEqualTo(Deployment.SLOTS_PER_MEMBER);
	}

	/**
	 * Guards against daemons that use more than their share of slot time.
	 */
	@Test
	void shareOfSlotTimeRefillsAtItsRate() {
		PartialShare share = new PartialShare(0.1, 3);
		long now = 0;
		long used = 0;
		for (int i = 0; i < 10_000; i++) {
			now += VirtualTime.MILLISECOND;
			if (share.slots("a", now) > 0) {
				used += VirtualTime.MILLISECOND;
				share.used(new Dispatch<>(request(), Rank.BROWSING, "a", now), VirtualTime.MILLISECOND);
			}
		}
		assertThat((double) used / now).isBetween(0.19, 0.21);
	}

	/**
	 * Guards against a failover that never ends, or a baseline that does not wait for the
	 * leases.
	 */
	@Test
	void baselineOfTheFailoverWaitsForLeases() {
		FailoverMeasure measure = new FailoverMeasure(SETTINGS);
		long gap = measure.gapNanoseconds(Baseline.MAGNOLIALEAD, SEED);
		long baseline = measure.gapNanoseconds(Baseline.LEASES_RUN_OUT, SEED);
		assertThat(gap).isBetween(1_000 * VirtualTime.MILLISECOND, 2_000 * VirtualTime.MILLISECOND);
		assertThat(baseline - gap).isBetween(2_300 * VirtualTime.MILLISECOND, 2_700 * VirtualTime.MILLISECOND);
	}

	/**
	 * Guards against a replica share that counts reads of the primary.
	 */
	@Test
	void primaryOnlyReadsUseNoReplica() {
		Tally tally = new ReplicaReadMeasure(SETTINGS).measure(5, ReadPolicy.PRIMARY_ONLY);
		assertThat(List.of(tally.replicaShare(Rank.BROWSING), tally.sessionReplicaShare())).containsOnly(0.0);
	}

	private static Request request() {
		return new Request(RequestClass.ORDINARY.get(0), "", 0, 0, new Tally(), false);
	}

}
