package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Rejects requests while the lease is not held.
 */
final class LeaseFilter implements RequestFilter {

	private final LeaseGate gate;

	private final MonotonicClock clock;

	LeaseFilter(LeaseGate gate, MonotonicClock clock) {
		this.gate = gate;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next) {
		if (!this.gate.isHeld(this.clock.nanoseconds())) {
			throw new MagnolialeadException(ErrorCode.NO_LEASE, Step.LEASE, "", "the daemon holds no lease");
		}
		return next.proceed(context);
	}

}
