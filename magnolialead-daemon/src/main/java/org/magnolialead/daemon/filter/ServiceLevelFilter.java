package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.magnolialead.api.FleetView;
import org.magnolialead.api.MemberRole;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Profile;
import org.magnolialead.api.StatementKind;
import org.magnolialead.daemon.servicelevel.ServedRequest;
import org.magnolialead.daemon.servicelevel.ServiceLevelRecorder;
import org.magnolialead.transport.http.HttpErrors;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Records by profile how requests were served. Precedes the lease filter, so that
 * requests rejected because the daemon holds no lease count against the error budget.
 */
final class ServiceLevelFilter implements RequestFilter {

	private final ServiceLevelRecorder recorder;

	private final Supplier<FleetView> views;

	private final MonotonicClock clock;

	ServiceLevelFilter(ServiceLevelRecorder recorder, Supplier<FleetView> views, MonotonicClock clock) {
		this.recorder = recorder;
		this.views = views;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next) {
		FleetView view = this.views.get();
		String name = context.request().header(RequestHeaders.PROFILE).orElse("");
		Profile profile = view.configuration().profiles().get(name);
		if (profile == null || !view.groups().containsKey(context.group())) {
			return next.proceed(context);
		}
		return next.proceed(context).whenComplete((reply, failure) -> record(context, profile, reply));
	}

	private void record(RequestContext context, Profile profile, HttpServerResponse reply) {
		if (reply == null || MetricsFilter.isCausedByCaller(reply.status())) {
			return;
		}
		Outcome outcome = Outcome.valueOf(reply.headers().get(HttpErrors.OUTCOME_HEADER));
		boolean done = outcome == Outcome.DONE;
		boolean withinDeadline = done && DeadlineFilter.deadline(context.request()) - this.clock.nanoseconds() > 0;
		boolean byReplica = MemberRole.REPLICA.name().equals(reply.headers().get(RequestHeaders.ANSWER_MEMBER_ROLE));
		this.recorder.requestAnswered(profile.name(), profile.rank(),
				new ServedRequest(outcome, withinDeadline, context.kind() == StatementKind.READ, byReplica));
		if (context.kind().changesData()) {
			boolean repeated = reply.headers().containsKey(RequestHeaders.ANSWER_REPEATED);
			this.recorder.writeAnswered(context.group(), done && !repeated);
		}
	}

}
