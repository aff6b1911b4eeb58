package org.magnolialead.transport.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Response to an HTTP request.
 *
 * @param status HTTP status code from 200 to 599
 * @param headers headers by name, without {@code Content-Length} and {@code Connection},
 * which the server sets
 * @param body body, or an empty array; not copied, so it must not be modified
 */
public record HttpServerResponse(int status, Map<String, String> headers, byte[] body) {

	/**
	 * Media type of JSON bodies.
	 */
	public static final String JSON = "application/json";

	public HttpServerResponse {
		Objects.requireNonNull(body, "body must not be null");
		headers = Map.copyOf(headers);
		if (status < 200 || status > 599) {
			throw new IllegalArgumentException("status must be from 200 to 599, found " + status);
		}
	}

	/**
	 * Returns a response with a JSON body.
	 * @param status status code from 200 to 599
	 * @param body document in JSON, encoded as UTF-8
	 * @return the response
	 */
	public static HttpServerResponse json(int status, byte[] body) {
		return new HttpServerResponse(status, Map.of("Content-Type", JSON), body);
	}

	/**
	 * Returns a response whose body is a JSON object with string fields.
	 * @param status status code from 200 to 599
	 * @param fields string values by field name
	 * @return the response
	 */
	public static HttpServerResponse json(int status, Map<String, String> fields) {
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		fields.forEach(body::put);
		return json(status, body.toString().getBytes(StandardCharsets.UTF_8));
	}

}
