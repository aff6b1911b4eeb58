package org.magnolialead.testsupport.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;

/**
 * Statement that reads or changes one key.
 *
 * @param requestId identifier of the request that contains the statement
 * @param operation the operation
 * @param key key that the operation reads or changes
 * @param value value to store, or a JSON null
 */
record Statement(String requestId, Operation operation, String key, JsonNode value) {

	static Statement parse(String requestId, JsonNode json) {
		String name = json.path("operation").asText("");
		Operation operation = Operation.ofName(name)
			.orElseThrow(() -> new StatementException("unknown operation \"" + name + "\""));
		JsonNode key = json.path("key");
		if (!key.isTextual() || key.asText().isEmpty()) {
			throw new StatementException("key must be a non-empty string");
		}
		JsonNode value = json.hasNonNull("value") ? json.get("value") : NullNode.getInstance();
		return new Statement(requestId, operation, key.asText(), value);
	}

}
