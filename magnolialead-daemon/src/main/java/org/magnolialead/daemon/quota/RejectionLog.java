package org.magnolialead.daemon.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.log.LogRateLimiter;
import org.magnolialead.engine.quota.QuotaDecision;

/**
 * Log lines about operations that a rate limit rejected: at most one a second and
 * account, and ten a second together.
 */
final class RejectionLog {

	private static final System.Logger LOGGER = System.getLogger(RejectionLog.class.getName());

	private static final int LINES_PER_SECOND = 10;

	private static final long INTERVAL_NANOSECONDS = 1_000_000_000L;

	private final LogRateLimiter limiter;

	private final Map<String, Line> lines = new HashMap<>();

	RejectionLog(long now) {
		this.limiter = new LogRateLimiter(LINES_PER_SECOND, now);
	}

	void rejected(String account, QuotaDecision reason, long now) {
		Line line = this.lines.computeIfAbsent(account, (name) -> new Line(now));
		line.count++;
		if (now - line.dueAt >= 0 && this.limiter.tryAcquire(now)) {
			LogEvent.QUOTA_REJECTED.log(LOGGER, account, reason, line.count);
			line.count = 0;
			line.dueAt = now + INTERVAL_NANOSECONDS;
		}
	}

	void retain(Collection<String> accounts) {
		this.lines.keySet().retainAll(accounts);
	}

	private static final class Line {

		private long dueAt;

		private int count;

		Line(long now) {
			this.dueAt = now;
		}

	}

}
