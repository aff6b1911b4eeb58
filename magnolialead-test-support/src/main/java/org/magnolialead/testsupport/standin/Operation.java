package org.magnolialead.testsupport.standin;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Operations that the statements of the stand-in support.
 */
enum Operation {

	GET(false) {

		@Override
		ObjectNode apply(Map<String, JsonNode> values, Statement statement) {
			return result("value", current(values, statement));
		}

	},

	PUT(true) {

		@Override
		ObjectNode apply(Map<String, JsonNode> values, Statement statement) {
			values.put(statement.key(), statement.value());
			return result("value", statement.value());
		}

	},

	INCREMENT(true) {

		@Override
		ObjectNode apply(Map<String, JsonNode> values, Statement statement) {
			JsonNode current = current(values, statement);
			if (!current.isNull() && !current.isIntegralNumber()) {
				throw new StatementException("value of key " + statement.key() + " is not a number");
			}
			JsonNode next = LongNode.valueOf(current.asLong(0) + 1);
			values.put(statement.key(), next);
			return result("value", next);
		}

	},

	APPEND(true) {

		@Override
		ObjectNode apply(Map<String, JsonNode> values, Statement statement) {
			JsonNode current = current(values, statement);
			if (!current.isNull() && !current.isArray()) {
				throw new StatementException("value of key " + statement.key() + " is not a list");
			}
			ArrayNode next = current.isNull() ? JsonNodeFactory.instance.arrayNode() : ((ArrayNode) current).deepCopy();
			next.add(statement.value());
			values.put(statement.key(), next);
			return result("length", LongNode.valueOf(next.size()));
		}

	};

	private final boolean write;

	Operation(boolean write) {
		this.write = write;
	}

	boolean isWrite() {
		return this.write;
	}

	/**
	 * Applies a statement.
	 * @param values values by key; a change replaces the node and does not modify it
	 * @param statement the statement
	 * @return the result of the statement
	 * @throws StatementException if the operation does not support the type of the
	 * current value
	 */
	abstract ObjectNode apply(Map<String, JsonNode> values, Statement statement);

	static Optional<Operation> ofName(String name) {
		for (Operation operation : values()) {
			if (operation.name().toLowerCase(Locale.ROOT).equals(name)) {
				return Optional.of(operation);
			}
		}
		return Optional.empty();
	}

	private static JsonNode current(Map<String, JsonNode> values, Statement statement) {
		JsonNode value = values.get(statement.key());
		return (value != null) ? value : NullNode.getInstance();
	}

	private static ObjectNode result(String field, JsonNode value) {
		return JsonNodeFactory.instance.objectNode().set(field, value);
	}

}
