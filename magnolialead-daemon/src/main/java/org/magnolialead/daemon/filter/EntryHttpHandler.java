package org.magnolialead.daemon.filter;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.magnolialead.api.ErrorCode;
import org.magnolialead.api.MagnolialeadException;
import org.magnolialead.api.MemberDescription;
import org.magnolialead.api.StatementKind;
import org.magnolialead.api.Step;
import org.magnolialead.daemon.servicelevel.ServiceLevelRecorder;
import org.magnolialead.transport.http.HttpErrors;
import org.magnolialead.transport.http.HttpHandler;
import org.magnolialead.transport.http.HttpServerRequest;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Handles HTTP requests to an entry daemon: passes requests to database groups to the
 * filter chain, and serves the announcements of members, health, readiness and metrics.
 */
public final class EntryHttpHandler implements HttpHandler {

	private static final int OK = 200;

	private static final int ACCEPTED = 202;

	private static final int NOT_FOUND = 404;

	private static final int METHOD_NOT_ALLOWED = 405;

	private static final int UNAVAILABLE = 503;

	private static final ObjectReader ANNOUNCEMENTS = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build()
		.readerFor(MemberDescription.class);

	private final FilterChain chain;

	private final AnnouncementSink announcements;

	private final BooleanSupplier ready;

	private final MetricRegistry registry;

	private final ServiceLevelRecorder serviceLevels;

	/**
	 * Creates a handler.
	 * @param chain handles requests to database groups
	 * @param announcements receives the announcements of members
	 * @param ready returns whether this daemon is ready to receive requests
	 * @param registry metrics to report
	 * @param serviceLevels service levels to report
	 */
	public EntryHttpHandler(FilterChain chain, AnnouncementSink announcements, BooleanSupplier ready,
			MetricRegistry registry, ServiceLevelRecorder serviceLevels) {
		this.chain = Objects.requireNonNull(chain, "chain must not be null");
		this.announcements = Objects.requireNonNull(announcements, "announcements must not be null");
		this.ready = Objects.requireNonNull(ready, "ready must not be null");
		this.registry = Objects.requireNonNull(registry, "registry must not be null");
		this.serviceLevels = Objects.requireNonNull(serviceLevels, "serviceLevels must not be null");
	}

	@Override
	public CompletableFuture<HttpServerResponse> handle(HttpServerRequest request) {
		String[] parts = request.path().split("/", -1);
		if (parts.length >= 5 && "v1".equals(parts[1]) && "groups".equals(parts[2])) {
			return handleGroup(request, parts);
		}
		return CompletableFuture.completedFuture(handleResource(request));
	}

	private CompletableFuture<HttpServerResponse> handleGroup(HttpServerRequest request, String[] parts) {
		StatementKind kind = null;
		if (parts.length == 5) {
			kind = kindOf(parts[4]);
		}
		else if (parts.length == 7 && "transactions".equals(parts[4]) && !parts[5].isEmpty()) {
			kind = transactionKindOf(parts[6]);
		}
		if (kind == null) {
			return CompletableFuture.completedFuture(errorResponse(NOT_FOUND, "no such path"));
		}
		if (!"POST".equals(request.method())) {
			return CompletableFuture.completedFuture(errorResponse(METHOD_NOT_ALLOWED, "the method must be POST"));
		}
		String transaction = (parts.length == 7) ? parts[5] : "";
		return this.chain.proceed(RequestContext.received(request, parts[3], kind, transaction));
	}

	private static StatementKind kindOf(String name) {
		return switch (name) {
			case "read" -> StatementKind.READ;
			case "write" -> StatementKind.WRITE;
			case "transactions" -> StatementKind.BEGIN;
			default -> null;
		};
	}

	private static StatementKind transactionKindOf(String name) {
		return switch (name) {
			case "statements" -> StatementKind.TRANSACTION_STATEMENT;
			case "commit" -> StatementKind.COMMIT;
			case "rollback" -> StatementKind.ROLLBACK;
			default -> null;
		};
	}

	private HttpServerResponse handleResource(HttpServerRequest request) {
		String expected = "/v1/announcements".equals(request.path()) ? "POST" : "GET";
		HttpServerResponse reply = switch (request.path()) {
			case "/v1/announcements", "/health", "/readiness", "/metrics", "/metrics/service-levels" -> null;
			default -> errorResponse(NOT_FOUND, "no such path");
		};
		if (reply == null && !expected.equals(request.method())) {
			reply = errorResponse(METHOD_NOT_ALLOWED, "the method must be " + expected);
		}
		return (reply != null) ? reply : resource(request);
	}

	private HttpServerResponse resource(HttpServerRequest request) {
		return switch (request.path()) {
			case "/v1/announcements" -> announce(request);
			case "/readiness" -> readiness();
			case "/metrics" -> HttpServerResponse.json(OK, MetricsReport.write(this.registry));
			case "/metrics/service-levels" ->
				HttpServerResponse.json(OK, MetricsReport.write(this.serviceLevels.snapshot()));
			default -> HttpServerResponse.json(OK, text("{\"status\":\"UP\"}"));
		};
	}

	private HttpServerResponse readiness() {
		if (this.ready.getAsBoolean()) {
			return HttpServerResponse.json(OK, text("{\"status\":\"READY\"}"));
		}
		return HttpServerResponse.json(UNAVAILABLE, text("{\"status\":\"NOT_READY\"}"));
	}

	private HttpServerResponse announce(HttpServerRequest request) {
		MemberDescription member;
		try {
			member = ANNOUNCEMENTS.readValue(request.body());
			Objects.requireNonNull(member, "an announcement must not be null");
		}
		catch (IOException | NullPointerException ex) {
			throw new MagnolialeadException(ErrorCode.BAD_REQUEST, Step.RECEIVE, request.remoteAddress(),
					"the body is not a valid announcement", ex);
		}
		this.announcements.memberAnnounced(member);
		return HttpServerResponse.json(ACCEPTED, text("{}"));
	}

	private static HttpServerResponse errorResponse(int status, String message) {
		HttpServerResponse error = HttpErrors.response(ErrorCode.BAD_REQUEST, Step.RECEIVE, "", message,
				ErrorCode.BAD_REQUEST.outcome());
		return new HttpServerResponse(status, error.headers(), error.body());
	}

	private static byte[] text(String json) {
		return json.getBytes(StandardCharsets.UTF_8);
	}

}
