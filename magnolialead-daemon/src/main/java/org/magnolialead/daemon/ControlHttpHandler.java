package org.magnolialead.daemon;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnolialead.daemon.control.ControlController;
import org.magnolialead.daemon.control.DefaultCommandLog;
import org.magnolialead.transport.http.HttpHandler;
import org.magnolialead.transport.http.HttpServerRequest;
import org.magnolialead.transport.http.HttpServerResponse;

/**
 * Serves health, readiness and metrics of a control daemon over HTTP.
 */
final class ControlHttpHandler implements HttpHandler {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int UNAVAILABLE = 503;

	private final ControlController controller;

	private final DefaultCommandLog log;

	private final MetricRegistry metrics;

	ControlHttpHandler(ControlController controller, DefaultCommandLog log, MetricRegistry metrics) {
		this.controller = controller;
		this.log = log;
		this.metrics = metrics;
	}

	@Override
	public CompletableFuture<HttpServerResponse> handle(HttpServerRequest request) {
		HttpServerResponse response = switch (request.path()) {
			case "/health" -> health();
			case "/readiness" -> HttpServerResponse.json(this.log.leaderAddress().isPresent() ? OK : UNAVAILABLE,
					Map.of("leader", this.log.leaderAddress().orElse("")));
			case "/metrics" -> HttpServerResponse.json(OK, metrics().toString().getBytes(StandardCharsets.UTF_8));
			default -> HttpServerResponse.json(NOT_FOUND, Map.of("message", "no such path: " + request.path()));
		};
		return CompletableFuture.completedFuture(response);
	}

	private HttpServerResponse health() {
		boolean healthy = this.log.failure().isEmpty();
		String status = this.log.failure().map(String::valueOf).orElse("healthy");
		return HttpServerResponse.json(healthy ? OK : UNAVAILABLE, Map.of("status", status));
	}

	private ObjectNode metrics() {
		ObjectNode node = MAPPER.createObjectNode()
			.put("leader", this.controller.view().leader())
			.put("term", this.log.term())
			.put("commit_index", this.log.commitIndex())
			.put("applied_index", this.log.appliedIndex())
			.put("log_bytes", this.log.logBytes())
			.put("log_suspended", this.log.failure().isPresent());
		for (Map.Entry<String, Meter> meter : this.metrics.getMeters().entrySet()) {
			node.putObject(meter.getKey())
				.put("count", meter.getValue().getCount())
				.put("per_second", meter.getValue().getOneMinuteRate());
		}
		return node;
	}

}
