package org.magnolialead.daemon.filter;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.Step;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Determines the session of a request and verifies its token.
 */
final class SessionFilter implements RequestFilter {

	private static final Pattern SESSION = Pattern.compile("[\\x21-\\x7E]{1,128}");

	private final SessionTokenCodec tokens;

	SessionFilter(SessionTokenCodec tokens) {
		this.tokens = tokens;
	}

	@Override
	public CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next) {
		return next.proceed(context.withSession(session(context)));
	}

	private SessionToken session(RequestContext context) {
		Optional<String> name = context.request().header(RequestHeaders.SESSION);
		name.ifPresent(SessionFilter::checkName);
		Optional<String> text = context.request().header(RequestHeaders.SESSION_TOKEN);
		if (text.isEmpty()) {
			return name.map(SessionToken::of).orElse(SessionToken.NONE);
		}
		SessionToken token = this.tokens.decode(text.get().trim());
		if (name.isPresent() && !name.get().equals(token.session())) {
			throw new MagnolialeadException(ErrorCode.INVALID_SESSION_TOKEN, Step.SESSION, "",
					"the session token belongs to another session");
		}
		return token;
	}

	private static void checkName(String name) {
		if (!SESSION.matcher(name).matches()) {
			throw new MagnolialeadException(ErrorCode.BAD_REQUEST, Step.SESSION, "",
					"the session name must match " + SESSION);
		}
	}

}
