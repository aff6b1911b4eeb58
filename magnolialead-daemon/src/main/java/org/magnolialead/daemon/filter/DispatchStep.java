package org.magnolialead.daemon.filter;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MonotonicClock;
import org.magnolialead.api.Step;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Last step of the chain, which dispatches a request and adds the session token to its
 * reply.
 */
final class DispatchStep implements FilterChain {

	private final GroupDispatcher dispatcher;

	private final SessionTokenCodec tokens;

	private final MonotonicClock clock;

	DispatchStep(GroupDispatcher dispatcher, SessionTokenCodec tokens, MonotonicClock clock) {
		this.dispatcher = dispatcher;
		this.tokens = tokens;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<HttpServerResponse> proceed(RequestContext context) {
		long remainingMilliseconds = TimeUnit.NANOSECONDS.toMillis(context.deadline() - this.clock.nanoseconds());
		if (remainingMilliseconds < 1) {
			throw new MagnolialeadException(ErrorCode.DEADLINE_EXCEEDED, Step.FORWARD, "",
					"the deadline passed before the request was sent");
		}
		return this.dispatcher.dispatch(executeRequest(context, remainingMilliseconds), context.deadline())
			.thenApply((answer) -> reply(context, answer));
	}

	private static ExecuteRequest executeRequest(RequestContext context, long remainingMilliseconds) {
		return new ExecuteRequest(context.group(), context.kind(), context.request().body(), context.profile().name(),
				context.session().session(), context.sessionPosition(), context.idempotencyKey(), context.transaction(),
				remainingMilliseconds, context.view().configuration().version());
	}

	private HttpServerResponse reply(RequestContext context, ExecuteAnswer answer) {
		HttpServerResponse reply = AnswerMapping.reply(answer);
		if (context.session().session().isEmpty()) {
			return reply;
		}
		SessionToken session = context.session();
		// The position of a write with an unknown outcome is included, because the write
		// may have been executed.
		boolean wrote = context.kind().changesData() && answer.position() != null
				&& !answer.position().equals(LogPosition.NONE);
		SessionToken next = wrote ? session.withWrite(context.group(), answer.position()) : session;
		return AnswerMapping.withHeader(reply, RequestHeaders.ANSWER_SESSION_TOKEN, this.tokens.encode(next));
	}

}
