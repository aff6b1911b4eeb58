package org.magnolialead.ctl.experiment;

import org.magnolialead.api.Rank;

/**
 * Simulated request of a client, compared by identity.
 */
final class Request {

	static final long TIMEOUT_NANOSECONDS = 500 * VirtualClock.NANOSECONDS_PER_MILLISECOND;

	private final RequestClass requestClass;

	private final String session;

	private final int entryDaemon;

	private final long arrival;

	private final PhaseStatistics statistics;

	private final boolean afterOwnWrite;

	private boolean ended;

	Request(RequestClass requestClass, String session, int entryDaemon, long arrival, PhaseStatistics statistics,
			boolean afterOwnWrite) {
		this.requestClass = requestClass;
		this.session = session;
		this.entryDaemon = entryDaemon;
		this.arrival = arrival;
		this.statistics = statistics;
		this.afterOwnWrite = afterOwnWrite;
		statistics.recordOffered(rank());
	}

	RequestClass requestClass() {
		return this.requestClass;
	}

	Rank rank() {
		return this.requestClass.rank();
	}

	String session() {
		return this.session;
	}

	int entryDaemon() {
		return this.entryDaemon;
	}

	long deadline() {
		return this.arrival + TIMEOUT_NANOSECONDS;
	}

	void done(boolean byReplica, long now) {
		if (end()) {
			this.statistics.recordDone(this, byReplica, now - this.arrival, deadline() - now >= 0);
		}
	}

	void refused(long now) {
		if (end()) {
			this.statistics.recordRefused(rank(), now - this.arrival);
		}
	}

	void expired() {
		if (end()) {
			this.statistics.recordExpired(rank());
		}
	}

	boolean isAfterOwnWrite() {
		return this.afterOwnWrite;
	}

	private boolean end() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

}
