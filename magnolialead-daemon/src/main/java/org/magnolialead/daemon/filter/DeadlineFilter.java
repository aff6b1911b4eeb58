package org.magnolialead.daemon.filter;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.transport.http.HttpServerRequest;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Converts the caller's timeout to a deadline, counted from the receipt of the request,
 * and rejects requests whose deadline has passed.
 */
final class DeadlineFilter implements RequestFilter {

	static final long DEFAULT_TIMEOUT_MILLISECONDS = 5_000;

	static final long MAXIMUM_TIMEOUT_MILLISECONDS = 60_000;

	private final MonotonicClock clock;

	DeadlineFilter(MonotonicClock clock) {
		this.clock = clock;
	}

	@Override
	public CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next) {
		long deadline = deadline(context.request());
		if (deadline - this.clock.nanoseconds() <= 0) {
			throw new MagnolialeadException(ErrorCode.DEADLINE_EXCEEDED, Step.DEADLINE, "",
					"the deadline passed before the request was handled");
		}
		return next.proceed(context.withDeadline(deadline));
	}

	/**
	 * Returns the deadline of a request.
	 * @param request the request
	 * @return time of the monotonic clock in nanoseconds
	 * @throws MagnolialeadException if the timeout is malformed or out of range
	 */
	static long deadline(HttpServerRequest request) {
		return request.receivedAt() + TimeUnit.MILLISECONDS.toNanos(timeoutMilliseconds(request));
	}

	private static long timeoutMilliseconds(HttpServerRequest request) {
		Optional<String> header = request.header(RequestHeaders.TIMEOUT);
		if (header.isEmpty()) {
			return DEFAULT_TIMEOUT_MILLISECONDS;
		}
		try {
			long milliseconds = Long.parseLong(header.get().trim());
			if (milliseconds >= 1 && milliseconds <= MAXIMUM_TIMEOUT_MILLISECONDS) {
				return milliseconds;
			}
			throw malformed(header.get(), null);
		}
		catch (NumberFormatException ex) {
			throw malformed(header.get(), ex);
		}
	}

	private static MagnolialeadException malformed(String value, Throwable cause) {
		return new MagnolialeadException(ErrorCode.BAD_REQUEST, Step.DEADLINE, "",
				"the timeout must be a number of milliseconds from 1 to %d, found \"%s\""
					.formatted(MAXIMUM_TIMEOUT_MILLISECONDS, value),
				cause);
	}

}
