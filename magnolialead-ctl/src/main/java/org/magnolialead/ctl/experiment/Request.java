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

	private final long arrivedAt;

	private final PhaseStatistics statistics;

	private final boolean afterOwnWrite;

	private boolean ended;

	Request(RequestClass requestClass, String session, int entryDaemon, long arrivedAt, PhaseStatistics statistics,
			boolean afterOwnWrite) {
		this.requestClass = requestClass;
		this.session = session;
		this.entryDaemon = entryDaemon;
		this.arrivedAt = arrivedAt;
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
		return this.arrivedAt + TIMEOUT_NANOSECONDS;
	}

	void done(boolean byReplica, long now) {
		if (end()) {
			this.statistics.recordDone(this, byReplica, now - this.arrivedAt, deadline() - now >= 0);
		}
	}

	void refused(long now) {
		if (end()) {
			this.statistics.recordRefused(rank(), now - this.arrivedAt);
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
