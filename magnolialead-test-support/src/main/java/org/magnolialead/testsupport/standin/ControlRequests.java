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
 * Requests by which tests control and inspect the stand-in.
 */
final class ControlRequests {

	private final MemberStore store;

	private final FaultControls faults;

	private final Replicator replicator;

	private final Supplier<ObjectNode> statistics;

	ControlRequests(MemberStore store, FaultControls faults, Replicator replicator, Supplier<ObjectNode> statistics) {
		this.store = store;
		this.faults = faults;
		this.replicator = replicator;
		this.statistics = statistics;
	}

	StandInAnswer handle(StandInRequest request) {
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
				this.faults.answerDelayMilliseconds = request.number("milliseconds", 0);
				this.faults.delayedAnswers = count;
			}
			case "/control/duplicate-answers" -> {
				this.faults.duplicatedAnswers = count;
			}
			case "/control/swap-answers" -> {
				this.faults.swappedAnswers = count;
			}
			case "/control/drop-answers" -> {
				this.faults.droppedAnswers = count;
				this.faults.dropClosesConnection = flag(request, "close");
			}
			case "/control/freeze-status" -> {
				this.faults.statusFrozen = flag(request, "frozen");
			}
			case "/control/pause-replication" -> {
				this.faults.replicationPaused = flag(request, "paused");
			}
			case "/control/history" -> {
				return StandInAnswer.ok(history(request.text("key", "")));
			}
			case "/control/statistics" -> {
				return StandInAnswer.ok(this.statistics.get());
			}
			default -> {
				return StandInAnswer.error(HttpResponseStatus.NOT_FOUND, "unknown control " + request.path());
			}
		}
		return StandInAnswer.ok(JsonNodeFactory.instance.objectNode());
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
