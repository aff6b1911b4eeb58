package org.magnolialead.daemon.owner;

import java.nio.charset.StandardCharsets;

import org.magnolialead.api.message.ExecuteRequest;
import org.magnolialead.transport.member.MemberRequest;
import org.magnolialead.transport.member.MemberResponse;

/**
 * Builds requests to database members and interprets the HTTP status of their answers.
 */
final class MemberCalls {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECTION = 300;

	private static final int CONFLICT = 409;

	private static final int UNPROCESSABLE = 422;

	private static final int BAD_REQUEST = 400;

	private static final int MAXIMUM_MESSAGE_CHARACTERS = 300;

	private MemberCalls() {
	}

	static MemberRequest of(ExecuteRequest request) {
		return switch (request.kind()) {
			case READ -> execute("read", request);
			case WRITE -> execute("write", request);
			case TRANSACTION_STATEMENT -> execute("transaction", request);
			case BEGIN -> emptyPost("/transactions/begin");
			case COMMIT -> emptyPost("/transactions/commit");
			case ROLLBACK -> emptyPost("/transactions/rollback");
		};
	}

	static boolean isSuccess(MemberResponse reply) {
		return reply.status() >= FIRST_SUCCESS && reply.status() < FIRST_REDIRECTION;
	}

	/**
	 * Tells whether the member rejected the request because it is not the primary.
	 * @param reply the member's answer
	 * @return {@code true} for HTTP status 409
	 */
	static boolean isNotPrimary(MemberResponse reply) {
		return reply.status() == CONFLICT;
	}

	/**
	 * Tells whether the member rejected the statement without executing any of it.
	 * @param reply the member's answer
	 * @return {@code true} for HTTP status 400 and 422
	 */
	static boolean isRejectedStatement(MemberResponse reply) {
		return reply.status() == UNPROCESSABLE || reply.status() == BAD_REQUEST;
	}

	static String message(MemberResponse reply) {
		String body = new String(reply.body(), StandardCharsets.UTF_8);
		return "the member answered with HTTP status %d: %s".formatted(reply.status(),
				body.substring(0, Math.min(body.length(), MAXIMUM_MESSAGE_CHARACTERS)));
	}

	static byte[] termBody(long term) {
		return "{\"term\":%d}".formatted(term).getBytes(StandardCharsets.UTF_8);
	}

	static byte[] followBody(long term, String primaryAddress) {
		return "{\"term\":%d,\"primary\":\"%s\"}".formatted(term, primaryAddress).getBytes(StandardCharsets.UTF_8);
	}

	private static MemberRequest execute(String kind, ExecuteRequest request) {
		byte[] prefix = "{\"kind\":\"%s\",\"statement\":".formatted(kind).getBytes(StandardCharsets.UTF_8);
		byte[] statement = request.statement();
		byte[] body = new byte[prefix.length + statement.length + 1];
		System.arraycopy(prefix, 0, body, 0, prefix.length);
		System.arraycopy(statement, 0, body, prefix.length, statement.length);
		body[body.length - 1] = '}';
		return new MemberRequest("POST", "/execute", body);
	}

	private static MemberRequest emptyPost(String path) {
		return new MemberRequest("POST", path, "{}".getBytes(StandardCharsets.UTF_8));
	}

}
