package org.magnolialead.testsupport.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Response of the primary to a replica that requests records.
 *
 * @param matches whether the log of the primary contains the last record of the replica
 * @param keepUntil index of the last record that the replica keeps if the logs do not
 * match
 * @param records following records if the logs match, otherwise empty
 */
record ReplicationBatch(boolean matches, long keepUntil, List<LogRecord> records) {

	ObjectNode encode() {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.put("matches", this.matches).put("keepUntil", this.keepUntil);
		ArrayNode array = json.putArray("records");
		this.records.forEach((logRecord) -> array.add(encode(logRecord)));
		return json;
	}

	static ReplicationBatch decode(byte[] body) throws JsonProcessingException {
		JsonNode json;
		try {
			json = DatabaseStandIn.JSON.readTree(body);
		}
		catch (JsonProcessingException ex) {
			throw ex;
		}
		catch (IOException ex) {
			throw new StatementException("cannot read the replication response");
		}
		List<LogRecord> records = new ArrayList<>();
		json.path("records").forEach((item) -> records.add(decodeRecord(item)));
		return new ReplicationBatch(json.path("matches").asBoolean(), json.path("keepUntil").asLong(), records);
	}

	static ObjectNode encode(LogRecord logRecord) {
		ObjectNode json = JsonNodeFactory.instance.objectNode();
		json.put("term", logRecord.term()).put("index", logRecord.index());
		json.put("timeMilliseconds", logRecord.timeMilliseconds());
		ArrayNode statements = json.putArray("statements");
		for (Statement statement : logRecord.statements()) {
			statements.addObject()
				.put("requestId", statement.requestId())
				.put("operation", statement.operation().name().toLowerCase(Locale.ROOT))
				.put("key", statement.key())
				.set("value", statement.value());
		}
		return json;
	}

	private static LogRecord decodeRecord(JsonNode json) {
		List<Statement> statements = new ArrayList<>();
		json.path("statements")
			.forEach((item) -> statements.add(Statement.parse(item.path("requestId").asText(), item)));
		return new LogRecord(json.path("term").asLong(), json.path("index").asLong(),
				json.path("timeMilliseconds").asLong(), statements);
	}

}
