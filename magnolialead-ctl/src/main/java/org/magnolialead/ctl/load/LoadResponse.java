package org.magnolialead.ctl.load;

import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * Response to a request of the load generator.
 *
 * @param result known outcome of the request
 * @param status HTTP status code, or 0 without a response
 * @param headers header values by name in lower case
 * @param body content of the response
 */
record LoadResponse(LoadResult result, int status, Map<String, String> headers, byte[] body) {

	private static final ObjectMapper JSON = new ObjectMapper();

	static LoadResponse withoutResponse(LoadResult result) {
		return new LoadResponse(result, 0, Map.of(), new byte[0]);
	}

	static LoadResponse of(int status, Map<String, String> headers, byte[] body) {
		return new LoadResponse(LoadResult.of(status, headers.get("magnolialead-outcome")), status, headers, body);
	}

	String header(String name) {
		return this.headers.getOrDefault(name, "");
	}

	/**
	 * Returns the body as JSON.
	 * @return the JSON value, or a missing node if the body is not complete JSON
	 */
	JsonNode json() {
		try {
			return JSON.readTree(this.body);
		}
		catch (IOException ex) {
			return MissingNode.getInstance();
		}
	}

}
