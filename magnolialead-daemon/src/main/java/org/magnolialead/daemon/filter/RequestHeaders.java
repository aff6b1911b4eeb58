package org.magnolialead.daemon.filter;

/**
 * Headers of callers' requests and of their answers. Request headers are in lower case,
 * as in {@link org.magnolialead.transport.http.HttpServerRequest}.
 */
public final class RequestHeaders {

	/** Name of the profile. */
	public static final String PROFILE = "magnolialead-profile";

	/** Name of the session. */
	public static final String SESSION = "magnolialead-session";

	/** Session token of an earlier answer. */
	public static final String SESSION_TOKEN = "magnolialead-session-token";

	/** Time until the caller's deadline in milliseconds. */
	public static final String TIMEOUT = "magnolialead-timeout-milliseconds";

	/** Identifier of a request that must run at most once. */
	public static final String IDEMPOTENCY_KEY = "idempotency-key";

	/** Session token to send with the next request. */
	public static final String ANSWER_SESSION_TOKEN = "Magnolialead-Session-Token";

	/** Term of the member that answered. */
	public static final String ANSWER_TERM = "Magnolialead-Term";

	/** Name of the member that answered. */
	public static final String ANSWER_MEMBER = "Magnolialead-Member";

	/** Role of the member that answered. */
	public static final String ANSWER_MEMBER_ROLE = "Magnolialead-Member-Role";

	/** Identifier of a transaction that was opened. */
	public static final String ANSWER_TRANSACTION = "Magnolialead-Transaction";

	/** Set to {@code true} if the answer is the stored one of an earlier attempt. */
	public static final String ANSWER_REPEATED = "Magnolialead-Repeated";

	/** Time in seconds, rounded up, after which a rejected request may be tried again. */
	public static final String ANSWER_RETRY_AFTER = "Retry-After";

	/** Time in milliseconds after which a rejected request may be tried again. */
	public static final String ANSWER_RETRY_AFTER_MILLISECONDS = "Magnolialead-Retry-After-Milliseconds";

	private RequestHeaders() {
	}

}
