package org.magnolialead.daemon.filter;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.MemberRole;
import org.magnolialead.api.message.ExecuteAnswer;
import org.magnolialead.transport.http.HttpErrors;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Maps answers to HTTP responses.
 */
final class AnswerMapping {

	private static final int OK = 200;

	private static final byte[] EMPTY_OBJECT = "{}".getBytes(StandardCharsets.UTF_8);

	private AnswerMapping() {
	}

	static HttpServerResponse reply(ExecuteAnswer answer) {
		if (answer.error() != null) {
			return failure(answer);
		}
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Content-Type", HttpServerResponse.JSON);
		headers.put(HttpErrors.OUTCOME_HEADER, answer.outcome().name());
		addMember(headers, answer);
		if (!answer.transaction().isEmpty()) {
			headers.put(RequestHeaders.ANSWER_TRANSACTION, answer.transaction());
		}
		if (answer.repeated()) {
			headers.put(RequestHeaders.ANSWER_REPEATED, "true");
		}
		byte[] body = (answer.result() != null && answer.result().length > 0) ? answer.result() : EMPTY_OBJECT;
		return new HttpServerResponse(OK, headers, body);
	}

	static HttpServerResponse withHeader(HttpServerResponse reply, String name, String value) {
		Map<String, String> headers = new LinkedHashMap<>(reply.headers());
		headers.put(name, value);
		return new HttpServerResponse(reply.status(), headers, reply.body());
	}

	private static HttpServerResponse failure(ExecuteAnswer answer) {
		HttpServerResponse error = HttpErrors.response(answer.error(), answer.step(), answer.peer(), answer.message(),
				answer.outcome());
		Map<String, String> headers = new LinkedHashMap<>(error.headers());
		addMember(headers, answer);
		if (answer.repeated()) {
			headers.put(RequestHeaders.ANSWER_REPEATED, "true");
		}
		long milliseconds = answer.retryAfterMilliseconds();
		if (milliseconds > 0) {
			long perSecond = TimeUnit.SECONDS.toMillis(1);
			headers.put(RequestHeaders.ANSWER_RETRY_AFTER, Long.toString((milliseconds + perSecond - 1) / perSecond));
			headers.put(RequestHeaders.ANSWER_RETRY_AFTER_MILLISECONDS, Long.toString(milliseconds));
		}
		return new HttpServerResponse(error.status(), headers, error.body());
	}

	private static void addMember(Map<String, String> headers, ExecuteAnswer answer) {
		if (answer.term() > 0) {
			headers.put(RequestHeaders.ANSWER_TERM, Long.toString(answer.term()));
		}
		if (!answer.member().isEmpty()) {
			MemberRole role = answer.servedByReplica() ? MemberRole.REPLICA : MemberRole.PRIMARY;
			headers.put(RequestHeaders.ANSWER_MEMBER, answer.member());
			headers.put(RequestHeaders.ANSWER_MEMBER_ROLE, role.name());
		}
	}

}
