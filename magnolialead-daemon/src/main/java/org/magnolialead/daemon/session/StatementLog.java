package org.magnolialead.daemon.session;

import java.util.concurrent.TimeUnit;

import org.magnolialead.api.Route;
import org.magnolialead.api.log.LogEvent;
import org.magnolialead.api.log.LogRateLimiter;
import org.magnolialead.api.session.StatementError;
import org.magnolialead.api.session.StatementReply;

/**
 * Rate-limited log lines about statements of sessions. Failures and retries have a higher
 * limit than successful statements, so that the lines that explain a problem remain when
 * the log is flooded.
 */
final class StatementLog {

	private static final System.Logger LOGGER = System.getLogger(StatementLog.class.getName());

	private static final int FAILURES_PER_SECOND = 50;

	private static final int SERVED_PER_SECOND = 10;

	private final SessionContext context;

	private final LogRateLimiter failureLimiter;

	private final LogRateLimiter servedLimiter;

	StatementLog(SessionContext context) {
		this.context = context;
		this.failureLimiter = new LogRateLimiter(FAILURES_PER_SECOND, context.now());
		this.servedLimiter = new LogRateLimiter(SERVED_PER_SECOND, context.now());
	}

	void failed(ClientStatement statement, String database, StatementReply reply) {
		if (mayLogFailure()) {
			LogEvent.SESSION_STATEMENT_FAILED.log(LOGGER, statement.identifier(), database, statement.verb(),
					reply.error(), ageMilliseconds(statement), reply.detail());
		}
	}

	void retried(ClientStatement statement, String database, String member, StatementError error, int attempt) {
		if (mayLogFailure()) {
			LogEvent.SESSION_STATEMENT_RETRIED.log(LOGGER, statement.identifier(), database, member, error, attempt,
					ageMilliseconds(statement));
		}
	}

	void alignmentFailed(ClientStatement statement, String database, String member, StatementError error, int attempt) {
		if (mayLogFailure()) {
			LogEvent.SESSION_ALIGNMENT_FAILED.log(LOGGER, statement.identifier(), database, member, error, attempt);
		}
	}

	void served(ClientStatement statement, String database, PooledConnection connection, int attempt) {
		if (this.servedLimiter.tryAcquire(this.context.now())) {
			LogEvent.SESSION_STATEMENT_SERVED.log(LOGGER, statement.identifier(), database,
					connection.pool().member().member(), connection.isRelayed(), attempt, ageMilliseconds(statement));
		}
	}

	void forwarded(ClientStatement statement, Route route, String daemon) {
		if (this.servedLimiter.tryAcquire(this.context.now())) {
			LogEvent.SESSION_STATEMENT_FORWARDED.log(LOGGER, statement.identifier(), route.database(), daemon,
					ageMilliseconds(statement));
		}
	}

	private boolean mayLogFailure() {
		if (!this.failureLimiter.tryAcquire(this.context.now())) {
			return false;
		}
		long dropped = this.failureLimiter.takeDroppedLines();
		if (dropped > 0) {
			LogEvent.SESSION_LINES_DROPPED.log(LOGGER, dropped);
		}
		return true;
	}

	private long ageMilliseconds(ClientStatement statement) {
		return TimeUnit.NANOSECONDS.toMillis(this.context.now() - statement.receivedAt());
	}

}
