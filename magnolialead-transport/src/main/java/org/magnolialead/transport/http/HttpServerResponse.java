package org.magnolialead.transport.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Answer to an HTTP request.
 *
 * @param status status code
 * @param headers headers by name, without the framing headers that the server adds
 * @param body body, empty if there is none; not copied and not to be changed
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
	 * Returns a reply with a JSON body.
	 * @param status status code
	 * @param body text in JSON, encoded as UTF-8
	 * @return the reply
	 */
	public static HttpServerResponse json(int status, byte[] body) {
		return new HttpServerResponse(status, Map.of("Content-Type", JSON), body);
	}

	/**
	 * Returns a reply whose JSON body is one object with text fields.
	 * @param status status code
	 * @param fields texts by field name
	 * @return the reply
	 */
	public static HttpServerResponse json(int status, Map<String, String> fields) {
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		fields.forEach(body::put);
		return json(status, body.toString().getBytes(StandardCharsets.UTF_8));
	}

}
