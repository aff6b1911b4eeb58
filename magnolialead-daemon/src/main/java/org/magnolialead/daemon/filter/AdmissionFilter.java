package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Rank;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Rejects requests while too many requests are in progress.
 */
final class AdmissionFilter implements RequestFilter {

	private static final long RETRY_AFTER_MILLISECONDS = 500;

	private final AdmissionControl admission;

	AdmissionFilter(AdmissionControl admission) {
		this.admission = admission;
	}

	@Override
	public CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next) {
		Rank rank = context.profile().rank();
		if (!this.admission.tryAcquire(rank)) {
			return CompletableFuture.completedFuture(rejection(rank));
		}
		return next.proceed(context).whenComplete((reply, failure) -> this.admission.release(rank));
	}

	private static HttpServerResponse rejection(Rank rank) {
		MagnolialeadException rejection = new MagnolialeadException(ErrorCode.OVERLOADED, Step.ADMISSION, "",
				"too many requests of rank %s are in progress".formatted(rank));
		return AnswerMapping.reply(ExecuteAnswer.failed(rejection, RETRY_AFTER_MILLISECONDS));
	}

}
