package org.magnolialead.ctl.load;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Class of requests that the load generator sends.
 *
 * @param profile name of the profile
 * @param rate requests per second
 * @param operation operation of each request
 * @param timeoutMilliseconds timeout of each request in milliseconds
 * @param keys number of keys per session and of shared counters of the class
 * @param resend share of writes, from 0 to 1, that are sent twice with the same
 * idempotency key; intended for profiles that are not repeatable
 */
public record LoadMix(String profile, double rate, Operation operation, long timeoutMilliseconds, int keys,
		double resend) {

	private static final Set<String> FIELDS = Set.of("profile", "rate", "kind", "operation", "timeout", "keys",
			"resend");

	public LoadMix {
		if (profile == null || profile.isBlank()) {
			throw new IllegalArgumentException("mix must name a profile");
		}
		if (!(rate > 0) || timeoutMilliseconds < 1 || keys < 1 || resend < 0 || resend > 1) {
			throw new IllegalArgumentException(
					"mix of profile %s needs a positive rate, timeout and keys, and resend from 0 to 1"
						.formatted(profile));
		}
	}

	/**
	 * Parses a mix in the form {@code profile=browsing,rate=100,kind=read,timeout=1000}.
	 * @param text the text
	 * @return the mix
	 * @throws IllegalArgumentException if a field is unknown, missing or malformed
	 */
	public static LoadMix parse(String text) {
		Map<String, String> fields = new HashMap<>();
		for (String field : text.split(",")) {
			String[] parts = field.split("=", 2);
			if (parts.length != 2 || !FIELDS.contains(parts[0])) {
				throw new IllegalArgumentException("unknown field \"%s\" in mix \"%s\"".formatted(field, text));
			}
			fields.put(parts[0], parts[1]);
		}
		try {
			return new LoadMix(fields.get("profile"), Double.parseDouble(fields.getOrDefault("rate", "10")),
					operation(fields), Long.parseLong(fields.getOrDefault("timeout", "1000")),
					Integer.parseInt(fields.getOrDefault("keys", "4")),
					Double.parseDouble(fields.getOrDefault("resend", "0")));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("malformed number in mix \"" + text + "\"", ex);
		}
	}

	/**
	 * Tells whether the requests change data.
	 * @return {@code true} for writes
	 */
	public boolean isWrite() {
		return this.operation != Operation.GET;
	}

	private static Operation operation(Map<String, String> fields) {
		String kind = fields.getOrDefault("kind", "read");
		if (kind.equals("read")) {
			return Operation.GET;
		}
		if (!kind.equals("write")) {
			throw new IllegalArgumentException("kind must be read or write, found \"" + kind + "\"");
		}
		String name = fields.getOrDefault("operation", "mixed").toUpperCase(Locale.ROOT);
		for (Operation operation : Operation.values()) {
			if (operation.name().equals(name) && operation != Operation.GET) {
				return operation;
			}
		}
		throw new IllegalArgumentException("operation must be put, increment, insert or mixed, found \"" + name + "\"");
	}

	/**
	 * Operation of a request.
	 */
	public enum Operation {

		/** Reads a key of the session. */
		GET,
		/** Writes a key of the session. */
		PUT,
		/** Increments a shared counter. */
		INCREMENT,
		/** Writes a unique key, which is written only once. */
		INSERT,
		/** Performs one of the writes, chosen at random. */
		MIXED

	}
}
