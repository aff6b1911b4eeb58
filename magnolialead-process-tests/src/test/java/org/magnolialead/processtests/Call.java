package org.magnolialead.processtests;

import java.util.HashMap;
import java.util.Map;

/**
 * Request of a caller.
 *
 * @param path path of the request
 * @param body body of the request
 * @param headers headers of the request
 */
record Call(String path, String body, Map<String, String> headers) {

	static final String GROUP = "group-1";

	private static final String GROUPS = "/v1/groups/";

	Call {
		headers = Map.copyOf(headers);
	}

	static Call read(String profile, String key) {
		return of("/read", profile, statement("get", key));
	}

	static Call put(String profile, String key, String value) {
		return of("/write", profile, "{\"operation\":\"put\",\"key\":\"%s\",\"value\":\"%s\"}".formatted(key, value));
	}

	static Call increment(String profile, String key) {
		return of("/write", profile, statement("increment", key));
	}

	static Call begin(String profile) {
		return of("/transactions", profile, "{}");
	}

	static Call inTransaction(String transaction, String profile, String body) {
		return of("/transactions/" + transaction + "/statements", profile, body);
	}

	static Call commit(String transaction, String profile) {
		return of("/transactions/" + transaction + "/commit", profile, "{}");
	}

	static Call of(String step, String profile, String body) {
		return new Call(GROUPS + GROUP + step, body, Map.of("Magnolialead-Profile", profile));
	}

	Call session(String name) {
		return with("Magnolialead-Session", name);
	}

	Call token(String token) {
		return token.isEmpty() ? this : with("Magnolialead-Session-Token", token);
	}

	Call idempotencyKey(String key) {
		return with("Idempotency-Key", key);
	}

	Call timeoutMilliseconds(long milliseconds) {
		return with("Magnolialead-Timeout-Milliseconds", Long.toString(milliseconds));
	}

	private Call with(String name, String value) {
		Map<String, String> changed = new HashMap<>(this.headers);
		changed.put(name, value);
		return new Call(this.path, this.body, changed);
	}

	private static String statement(String operation, String key) {
		return "{\"operation\":\"%s\",\"key\":\"%s\"}".formatted(operation, key);
	}

}
