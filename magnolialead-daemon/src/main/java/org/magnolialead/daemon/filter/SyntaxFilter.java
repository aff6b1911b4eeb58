package org.magnolialead.daemon.filter;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.Step;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Rejects malformed names, keys and bodies. The body must be exactly one JSON value,
 * because it is embedded in the JSON request to a database member.
 */
final class SyntaxFilter implements RequestFilter {

	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

	private static final Pattern TRANSACTION = Pattern.compile("[\\x21-\\x7E]{1,128}");

	private static final Pattern KEY = Pattern.compile("[\\x21-\\x7E]{1,128}");

	private final JsonFactory parsers = new JsonFactory();

	@Override
	public CompletableFuture<HttpServerResponse> filter(RequestContext context, FilterChain next) {
		require(NAME, context.group(), "group name");
		if (!context.transaction().isEmpty()) {
			require(TRANSACTION, context.transaction(), "transaction identifier");
		}
		if (!context.idempotencyKey().isEmpty()) {
			require(KEY, context.idempotencyKey(), "idempotency key");
		}
		checkBody(context);
		return next.proceed(context);
	}

	private void checkBody(RequestContext context) {
		byte[] body = context.request().body();
		if (body.length == 0 && isBodyOptional(context.kind())) {
			return;
		}
		try (JsonParser parser = this.parsers.createParser(body)) {
			JsonToken first = parser.nextToken();
			if (first == null) {
				throw malformed("the body must be a JSON value", null);
			}
			parser.skipChildren();
			if (parser.nextToken() != null) {
				throw malformed("the body must be one JSON value only", null);
			}
		}
		catch (IOException ex) {
			throw malformed("the body is not valid JSON", ex);
		}
	}

	private static boolean isBodyOptional(StatementKind kind) {
		return kind == StatementKind.BEGIN || kind == StatementKind.COMMIT || kind == StatementKind.ROLLBACK;
	}

	private static void require(Pattern pattern, String value, String what) {
		if (!pattern.matcher(value).matches()) {
			throw malformed("the %s must match %s".formatted(what, pattern), null);
		}
	}

	private static MagnolialeadException malformed(String message, Throwable cause) {
		return new MagnolialeadException(ErrorCode.BAD_REQUEST, Step.RECEIVE, "", message, cause);
	}

}
