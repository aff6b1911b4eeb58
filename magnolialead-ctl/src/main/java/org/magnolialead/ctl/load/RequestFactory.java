package org.magnolialead.ctl.load;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Builds requests to entry daemons or to a database member.
 */
final class RequestFactory {

	/**
	 * Additional time that the client waits after the timeout of a request, so that it
	 * receives the daemon's response about the missed deadline.
	 */
	private static final long RESPONSE_GRACE_MILLISECONDS = 1_000;

	private final LoadSettings settings;

	private final String runName;

	private final RandomGenerator random;

	private final AtomicLong sequence = new AtomicLong();

	RequestFactory(LoadSettings settings, String runName, RandomGenerator random) {
		this.settings = settings;
		this.runName = runName;
		this.random = random;
	}

	static ObjectNode statement(String operation, String key) {
		return JsonNodeFactory.instance.objectNode().put("operation", operation).put("key", key);
	}

	String nextId() {
		return this.runName + "-r" + this.sequence.incrementAndGet();
	}

	/**
	 * Builds a request to a randomly chosen address.
	 * @param target destination and options of the request
	 * @param statement the statement
	 * @return the request
	 */
	LoadRequest build(Target target, ObjectNode statement) {
		return build(target, statement, this.random.nextInt(this.settings.addresses().size()));
	}

	/**
	 * Builds a request to the address selected by a number, modulo the number of
	 * addresses. Consecutive numbers select each address in turn, so that not every retry
	 * goes to a daemon that is down.
	 * @param target destination and options of the request
	 * @param statement the statement
	 * @param number any non-negative number
	 * @return the request
	 */
	LoadRequest build(Target target, ObjectNode statement, int number) {
		long deadline = System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(target.timeoutMilliseconds() + RESPONSE_GRACE_MILLISECONDS);
		return this.settings.direct() ? direct(target, statement, deadline)
				: entry(target, statement, number, deadline);
	}

	private LoadRequest direct(Target target, ObjectNode statement, long deadline) {
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("kind", target.write() ? "write" : "read");
		body.set("statement", statement);
		return new LoadRequest(this.settings.addresses().get(0), "/execute", Map.of("X-Request-Id", nextId()),
				encode(body), deadline);
	}

	private LoadRequest entry(Target target, ObjectNode statement, int number, long deadline) {
		Map<String, String> headers = new HashMap<>();
		headers.put("Magnolialead-Profile", target.profile());
		headers.put("Magnolialead-Timeout-Milliseconds", Long.toString(target.timeoutMilliseconds()));
		if (target.session() != null) {
			headers.put("Magnolialead-Session", target.session().name());
			String token = target.session().token();
			if (!token.isEmpty()) {
				headers.put("Magnolialead-Session-Token", token);
			}
		}
		if (!target.idempotencyKey().isEmpty()) {
			headers.put("Idempotency-Key", target.idempotencyKey());
		}
		List<String> addresses = this.settings.addresses();
		String address = addresses.get(number % addresses.size());
		String path = "/v1/groups/" + target.group() + (target.write() ? "/write" : "/read");
		return new LoadRequest(address, path, headers, encode(statement), deadline);
	}

	private static byte[] encode(ObjectNode json) {
		return json.toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Destination and options of a request.
	 *
	 * @param group database group
	 * @param write whether it changes data
	 * @param profile name of the profile
	 * @param session session, or {@code null}
	 * @param idempotencyKey idempotency key, or an empty string
	 * @param timeoutMilliseconds timeout in milliseconds
	 */
	record Target(String group, boolean write, String profile, LoadSession session, String idempotencyKey,
			long timeoutMilliseconds) {
	}

}
