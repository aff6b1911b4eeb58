package org.magnolialead.processtests;

import java.util.HashMap;
import java.util.Map;

/**
 * HTTP request to an entry daemon.
 *
 * @param path path of the resource
 * @param body JSON body
 * @param headers request headers
 */
record Request(String path, String body, Map<String, String> headers) {

	static final String GROUP = "group-1";

	private static final String GROUPS = "/v1/groups/";

	Request {
		headers = Map.copyOf(headers);
	}

	static Request read(String profile, String key) {
		return of("/read", profile, statementBody("get", key));
	}

	static Request put(String profile, String key, String value) {
		return of("/write", profile, "{\"operation\":\"put\",\"key\":\"%s\",\"value\":\"%s\"}".formatted(key, value));
	}

	static Request increment(String profile, String key) {
		return of("/write", profile, statementBody("increment", key));
	}

	static Request begin(String profile) {
		return of("/transactions", profile, "{}");
	}

	static Request inTransaction(String transaction, String profile, String body) {
		return of("/transactions/" + transaction + "/statements", profile, body);
	}

	static Request commit(String transaction, String profile) {
		return of("/transactions/" + transaction + "/commit", profile, "{}");
	}

	static Request of(String step, String profile, String body) {
		return new Request(GROUPS + GROUP + step, body, Map.of("Magnolialead-Profile", profile));
	}

	Request session(String name) {
		return with("Magnolialead-Session", name);
	}

	Request token(String token) {
		return token.isEmpty() ? this : with("Magnolialead-Session-Token", token);
	}

	Request idempotencyKey(String key) {
		return with("Idempotency-Key", key);
	}

	Request timeoutMilliseconds(long milliseconds) {
		return with("Magnolialead-Timeout-Milliseconds", Long.toString(milliseconds));
	}

	private Request with(String name, String value) {
		Map<String, String> changed = new HashMap<>(this.headers);
		changed.put(name, value);
		return new Request(this.path, this.body, changed);
	}

	private static String statementBody(String operation, String key) {
		return "{\"operation\":\"%s\",\"key\":\"%s\"}".formatted(operation, key);
	}

}
