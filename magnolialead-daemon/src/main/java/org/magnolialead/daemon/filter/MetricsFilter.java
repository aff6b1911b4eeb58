package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Outcome;
import org.magnolialead.transport.http.HttpErrors;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Counts requests with a known profile and measures their latency. Precedes the deadline
 * filter, so that expired and rejected requests are counted too.
 */
final class MetricsFilter implements RequestFilter {

	private static final int REQUEST_TIMEOUT = 408;

	private static final int CONFLICT = 409;

	private final ServedRequestMetrics metrics;

	private final MonotonicClock clock;

	MetricsFilter(ServedRequestMetrics metrics, MonotonicClock clock) {
		this.metrics = metrics;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next) {
		long deadline = DeadlineFilter.deadline(context.request());
		return next.proceed(context).whenComplete((reply, failure) -> record(context, deadline, reply));
	}

	private void record(RequestContext context, long deadline, HttpServerResponse reply) {
		if (reply == null) {
			return;
		}
		long now = this.clock.nanoseconds();
		Outcome outcome = Outcome.valueOf(reply.headers().get(HttpErrors.OUTCOME_HEADER));
		this.metrics.answered(context.profile().rank(), outcome, now - context.request().receivedAt());
		if (!isCausedByCaller(reply.status())) {
			boolean withinDeadline = outcome == Outcome.DONE && deadline - now > 0;
			this.metrics.countForServiceLevel(context.profile().name(), withinDeadline);
		}
	}

	/**
	 * Tells whether a request failed because of its caller and does not count towards
	 * service levels.
	 * @param status status code of the HTTP reply
	 * @return {@code true} for 4xx except 408 and 409
	 */
	static boolean isCausedByCaller(int status) {
		return status >= 400 && status < 500 && status != REQUEST_TIMEOUT && status != CONFLICT;
	}

}
