package org.magnolialead.engine.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Order of the reports of members that one control daemon has received lately. Reports
 * may arrive out of order, and a member that starts again begins a new sequence. A report
 * is remembered for a limited time only, so that one with a wrong high number cannot
 * silence a member for ever. That a process is leaving is final, so such a report is
 * accepted whatever its number. Thread-safe.
 */
public final class ReportOrder {

	/** Time after which a report is forgotten. Delayed reports are younger. */
	static final long RETENTION_NANOSECONDS = TimeUnit.SECONDS.toNanos(60);

	/** Limits the memory that reports with invented names occupy. */
	static final int MAXIMUM_MEMBERS = 10_000;

	private final Map<String, Latest> latestReports = new LinkedHashMap<>();

	/**
	 * Records a report unless a later one of the same member is known.
	 * @param member name of the member
	 * @param startedAtMilliseconds time at which its process started, in milliseconds
	 * since the Unix epoch
	 * @param sequence number of the report within the process
	 * @param leaving whether the report states that the process is leaving
	 * @param now present monotonic time in nanoseconds
	 * @return {@code false} if the report is outdated
	 */
	public synchronized boolean record(String member, long startedAtMilliseconds, long sequence, boolean leaving,
			long now) {
		Latest known = this.latestReports.get(member);
		boolean forgotten = known == null || now - known.receivedAt() >= RETENTION_NANOSECONDS;
		if (!forgotten && known.isLaterThan(startedAtMilliseconds, sequence)) {
			return leaving && known.startedAtMilliseconds() == startedAtMilliseconds;
		}
		this.latestReports.remove(member);
		this.latestReports.put(member, new Latest(startedAtMilliseconds, sequence, now));
		if (this.latestReports.size() > MAXIMUM_MEMBERS) {
			this.latestReports.remove(this.latestReports.keySet().iterator().next());
		}
		return true;
	}

	private record Latest(long startedAtMilliseconds, long sequence, long receivedAt) {

		// An equal report is sent again after its answer was lost and must be handled
		// again.
		private boolean isLaterThan(long otherStartedAt, long otherSequence) {
			return this.startedAtMilliseconds > otherStartedAt
					|| (this.startedAtMilliseconds == otherStartedAt && this.sequence > otherSequence);
		}

	}

}
