package org.magnolialead.ctl.experiment;

import java.util.EnumMap;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.magnolialead.api.Rank;

/**
 * Statistics of the requests that arrived in one phase of an experiment.
 */
final class PhaseStatistics {

	private static final int SIGNIFICANT_DIGITS = 3;

	private final Map<Rank, Counts> counts = new EnumMap<>(Rank.class);

	private long sessionReads;

	private long sessionReplicaReads;

	private long readsAfterWrite;

	private long replicaReadsAfterWrite;

	PhaseStatistics() {
		for (Rank rank : Rank.values()) {
			this.counts.put(rank, new Counts());
		}
	}

	void recordOffered(Rank rank) {
		this.counts.get(rank).offered++;
	}

	void recordRefused(Rank rank, long afterNanoseconds) {
		Counts rankCounts = this.counts.get(rank);
		rankCounts.refused++;
		rankCounts.refusalNanoseconds.recordValue(Math.max(1, afterNanoseconds));
	}

	void recordExpired(Rank rank) {
		this.counts.get(rank).expired++;
	}

	void recordSlotTime(Rank rank, long nanoseconds, boolean late) {
		Counts rankCounts = this.counts.get(rank);
		rankCounts.slotNanoseconds += nanoseconds;
		rankCounts.lateSlotNanoseconds += late ? nanoseconds : 0;
	}

	void recordDone(Request request, boolean byReplica, long latencyNanoseconds, boolean withinDeadline) {
		Counts rankCounts = this.counts.get(request.rank());
		if (!withinDeadline) {
			rankCounts.late++;
			return;
		}
		rankCounts.done++;
		rankCounts.latencyNanoseconds.recordValue(Math.max(1, latencyNanoseconds));
		if (request.requestClass().write()) {
			return;
		}
		int replica = byReplica ? 1 : 0;
		rankCounts.reads++;
		rankCounts.replicaReads += replica;
		if (!request.requestClass().profile().freshness().boundsAge()) {
			this.sessionReads++;
			this.sessionReplicaReads += replica;
		}
		if (request.isAfterOwnWrite()) {
			this.readsAfterWrite++;
			this.replicaReadsAfterWrite += replica;
		}
	}

	/**
	 * Adds the statistics of another group.
	 * @param other the statistics to add
	 */
	void add(PhaseStatistics other) {
		other.counts.forEach((rank, rankCounts) -> this.counts.get(rank).add(rankCounts));
		this.sessionReads += other.sessionReads;
		this.sessionReplicaReads += other.sessionReplicaReads;
		this.readsAfterWrite += other.readsAfterWrite;
		this.replicaReadsAfterWrite += other.replicaReadsAfterWrite;
	}

	double withinDeadlineShare(Rank rank) {
		Counts rankCounts = this.counts.get(rank);
		return share(rankCounts.done, rankCounts.offered);
	}

	double withinDeadlineShare() {
		return share(done(), this.counts.values().stream().mapToLong((rankCounts) -> rankCounts.offered).sum());
	}

	long done() {
		return this.counts.values().stream().mapToLong((rankCounts) -> rankCounts.done).sum();
	}

	double lateShare(Rank rank) {
		Counts rankCounts = this.counts.get(rank);
		return share(rankCounts.late, rankCounts.offered);
	}

	double refusedShare(Rank rank) {
		Counts rankCounts = this.counts.get(rank);
		return share(rankCounts.refused, rankCounts.offered);
	}

	double expiredShare(Rank rank) {
		Counts rankCounts = this.counts.get(rank);
		return share(rankCounts.expired, rankCounts.offered);
	}

	double slotTimeShare(Rank rank) {
		return share(this.counts.get(rank).slotNanoseconds, slotNanoseconds());
	}

	double lateSlotTimeShare() {
		return share(this.counts.values().stream().mapToLong((rankCounts) -> rankCounts.lateSlotNanoseconds).sum(),
				slotNanoseconds());
	}

	long slotNanoseconds() {
		return this.counts.values().stream().mapToLong((rankCounts) -> rankCounts.slotNanoseconds).sum();
	}

	double replicaShare(Rank rank) {
		Counts rankCounts = this.counts.get(rank);
		return share(rankCounts.replicaReads, rankCounts.reads);
	}

	double sessionReplicaShare() {
		return share(this.sessionReplicaReads, this.sessionReads);
	}

	double replicaShareAfterWrite() {
		return share(this.replicaReadsAfterWrite, this.readsAfterWrite);
	}

	double latencyMilliseconds(Rank rank, double percentile) {
		return milliseconds(this.counts.get(rank).latencyNanoseconds, percentile);
	}

	double refusalMilliseconds(Rank rank, double percentile) {
		return milliseconds(this.counts.get(rank).refusalNanoseconds, percentile);
	}

	private static double milliseconds(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / (double) VirtualClock.NANOSECONDS_PER_MILLISECOND;
	}

	private static double share(long part, long whole) {
		return (whole == 0) ? 0 : (double) part / whole;
	}

	/** Counts of one rank. */
	private static final class Counts {

		private final Histogram latencyNanoseconds = new Histogram(SIGNIFICANT_DIGITS);

		private final Histogram refusalNanoseconds = new Histogram(SIGNIFICANT_DIGITS);

		private long offered;

		private long done;

		private long late;

		private long refused;

		private long expired;

		private long reads;

		private long replicaReads;

		private long slotNanoseconds;

		private long lateSlotNanoseconds;

		void add(Counts other) {
			this.latencyNanoseconds.add(other.latencyNanoseconds);
			this.refusalNanoseconds.add(other.refusalNanoseconds);
			this.offered += other.offered;
			this.done += other.done;
			this.late += other.late;
			this.refused += other.refused;
			this.expired += other.expired;
			this.reads += other.reads;
			this.replicaReads += other.replicaReads;
			this.slotNanoseconds += other.slotNanoseconds;
			this.lateSlotNanoseconds += other.lateSlotNanoseconds;
		}

	}

}
