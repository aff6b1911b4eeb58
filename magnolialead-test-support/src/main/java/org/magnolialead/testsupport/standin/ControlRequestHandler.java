package org.magnolialead.testsupport.standin;

import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.magnolialead.api.LogPosition;

/**
 * Handles the requests with which tests inject faults into the stand-in and inspect its
 * state.
 */
final class ControlRequestHandler {

	private final MemberStore store;

	private final FaultInjection faults;

	private final Replicator replicator;

	private final Supplier<ObjectNode> statistics;

	ControlRequestHandler(MemberStore store, FaultInjection faults, Replicator replicator,
			Supplier<ObjectNode> statistics) {
		this.store = store;
		this.faults = faults;
		this.replicator = replicator;
		this.statistics = statistics;
	}

	StandInResponse handle(StandInRequest request) {
		int count = (int) request.number("count", Integer.MAX_VALUE);
		switch (request.path()) {
			case "/control/lag" -> {
				this.faults.lagMilliseconds = request.number("milliseconds", 0);
				this.replicator.applyDue();
			}
			case "/control/service-time" -> {
				this.faults.readMilliseconds = request.number("read", this.faults.readMilliseconds);
				this.faults.writeMilliseconds = request.number("write", this.faults.writeMilliseconds);
			}
			case "/control/answer-delay" -> {
				this.faults.responseDelayMilliseconds = request.number("milliseconds", 0);
				this.faults.delayedResponses = count;
			}
			case "/control/duplicate-answers" -> {
				this.faults.duplicatedResponses = count;
			}
			case "/control/swap-answers" -> {
				this.faults.swappedResponses = count;
			}
			case "/control/drop-answers" -> {
				this.faults.droppedResponses = count;
				this.faults.dropClosesConnection = flag(request, "close");
			}
			case "/control/freeze-status" -> {
				this.faults.statusFrozen = flag(request, "frozen");
			}
			case "/control/pause-replication" -> {
				this.faults.replicationPaused = flag(request, "paused");
			}
			case "/control/history" -> {
				return StandInResponse.ok(history(request.text("key", "")));
			}
			case "/control/statistics" -> {
				return StandInResponse.ok(this.statistics.get());
			}
			default -> {
				return StandInResponse.error(HttpResponseStatus.NOT_FOUND, "unknown control path " + request.path());
			}
		}
		return StandInResponse.ok(JsonNodeFactory.instance.objectNode());
	}

	private boolean flag(StandInRequest request, String name) {
		return Boolean.parseBoolean(request.text(name, "false"));
	}

	private ObjectNode history(String key) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.set("value", this.store.value(key));
		addStatements(json.putArray("executed"), this.store.executed(), key);
		addStatements(json.putArray("log"), this.store.log(), key);
		return json;
	}

	private void addStatements(ArrayNode array, List<LogRecord> records, String key) {
		for (LogRecord logRecord : records) {
			LogPosition position = logRecord.position();
			boolean inLog = this.store.contains(position);
			for (Statement statement : logRecord.statements()) {
				if (key.isEmpty() || statement.key().equals(key)) {
					array.addObject()
						.put("key", statement.key())
						.put("operation", statement.operation().name().toLowerCase(Locale.ROOT))
						.put("requestId", statement.requestId())
						.put("term", position.term())
						.put("index", position.index())
						.put("timeMilliseconds", logRecord.timeMilliseconds())
						.put("inLog", inLog)
						.set("value", statement.value());
				}
			}
		}
	}

}
