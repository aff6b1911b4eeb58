package org.magnolialead.ctl.experiment;

import java.util.EnumMap;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.magnolialead.api.Rank;

/**
 * Counts of the requests that arrived in one phase of an experiment.
 */
final class Tally {

	private static final int DIGITS = 3;

	private final Map<Rank, Counts> counts = new EnumMap<>(Rank.class);

	private long sessionReads;

	private long sessionReplicaReads;

	private long readsAfterWrite;

	private long replicaReadsAfterWrite;

	Tally() {
		for (Rank rank : Rank.values()) {
			this.counts.put(rank, new Counts());
		}
	}

	void offered(Rank rank) {
		this.counts.get(rank).offered++;
	}

	void refused(Rank rank, long afterNanoseconds) {
		Counts of = this.counts.get(rank);
		of.refused++;
		of.refusalTime.recordValue(Math.max(1, afterNanoseconds));
	}

	void expired(Rank rank) {
		this.counts.get(rank).expired++;
	}

	void slotTime(Rank rank, long nanoseconds, boolean late) {
		Counts of = this.counts.get(rank);
		of.slotTime += nanoseconds;
		of.lateSlotTime += late ? nanoseconds : 0;
	}

	void done(Request request, boolean byReplica, long latency, boolean inTime) {
		Counts of = this.counts.get(request.rank());
		if (!inTime) {
			of.late++;
			return;
		}
		of.done++;
		of.latency.recordValue(Math.max(1, latency));
		if (request.requestClass().write()) {
			return;
		}
		int replica = byReplica ? 1 : 0;
		of.reads++;
		of.replicaReads += replica;
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
	 * Adds the counts of another group.
	 * @param other its counts
	 */
	void add(Tally other) {
		other.counts.forEach((rank, of) -> this.counts.get(rank).add(of));
		this.sessionReads += other.sessionReads;
		this.sessionReplicaReads += other.sessionReplicaReads;
		this.readsAfterWrite += other.readsAfterWrite;
		this.replicaReadsAfterWrite += other.replicaReadsAfterWrite;
	}

	double service(Rank rank) {
		Counts of = this.counts.get(rank);
		return share(of.done, of.offered);
	}

	double service() {
		return share(done(), this.counts.values().stream().mapToLong((of) -> of.offered).sum());
	}

	long done() {
		return this.counts.values().stream().mapToLong((of) -> of.done).sum();
	}

	double lateShare(Rank rank) {
		Counts of = this.counts.get(rank);
		return share(of.late, of.offered);
	}

	double refusedShare(Rank rank) {
		Counts of = this.counts.get(rank);
		return share(of.refused, of.offered);
	}

	double expiredShare(Rank rank) {
		Counts of = this.counts.get(rank);
		return share(of.expired, of.offered);
	}

	double slotShare(Rank rank) {
		return share(this.counts.get(rank).slotTime, slotTime());
	}

	double lateSlotShare() {
		return share(this.counts.values().stream().mapToLong((of) -> of.lateSlotTime).sum(), slotTime());
	}

	long slotTime() {
		return this.counts.values().stream().mapToLong((of) -> of.slotTime).sum();
	}

	double replicaShare(Rank rank) {
		Counts of = this.counts.get(rank);
		return share(of.replicaReads, of.reads);
	}

	double sessionReplicaShare() {
		return share(this.sessionReplicaReads, this.sessionReads);
	}

	double replicaShareAfterWrite() {
		return share(this.replicaReadsAfterWrite, this.readsAfterWrite);
	}

	double latencyMilliseconds(Rank rank, double percentile) {
		return milliseconds(this.counts.get(rank).latency, percentile);
	}

	double refusalMilliseconds(Rank rank, double percentile) {
		return milliseconds(this.counts.get(rank).refusalTime, percentile);
	}

	private static double milliseconds(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / (double) VirtualTime.MILLISECOND;
	}

	private static double share(long part, long whole) {
		return (whole == 0) ? 0 : (double) part / whole;
	}

	/** Counts of one rank. */
	private static final class Counts {

		private final Histogram latency = new Histogram(DIGITS);

		private final Histogram refusalTime = new Histogram(DIGITS);

		private long offered;

		private long done;

		private long late;

		private long refused;

		private long expired;

		private long reads;

		private long replicaReads;

		private long slotTime;

		private long lateSlotTime;

		void add(Counts other) {
			this.latency.add(other.latency);
			this.refusalTime.add(other.refusalTime);
			this.offered += other.offered;
			this.done += other.done;
			this.late += other.late;
			this.refused += other.refused;
			this.expired += other.expired;
			this.reads += other.reads;
			this.replicaReads += other.replicaReads;
			this.slotTime += other.slotTime;
			this.lateSlotTime += other.lateSlotTime;
		}

	}

}
