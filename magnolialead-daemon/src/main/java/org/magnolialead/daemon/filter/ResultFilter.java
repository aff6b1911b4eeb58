package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Step;
import org.magnolialead.transport.http.HttpErrors;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Returns results only while the lease is held. Follows the metrics filter, so that the
 * metrics count the outcome that is reported to the caller.
 */
final class ResultFilter implements RequestFilter {

	private final LeaseGate gate;

	private final MonotonicClock clock;

	ResultFilter(LeaseGate gate, MonotonicClock clock) {
		this.gate = gate;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next) {
		return next.proceed(context).thenApply(this::checkLease);
	}

	private HttpServerResponse checkLease(HttpServerResponse reply) {
		boolean done = Outcome.DONE.name().equals(reply.headers().get(HttpErrors.OUTCOME_HEADER));
		if (done && !this.gate.isHeld(this.clock.nanoseconds())) {
			return HttpErrors.response(new MagnolialeadException(ErrorCode.LEASE_LOST, Step.LEASE, "",
					"the lease ended before the answer could be returned"));
		}
		return reply;
	}

}
