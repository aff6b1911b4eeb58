package org.magnolialead.transport.http;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Completely received HTTP request.
 *
 * @param method HTTP method in upper case
 * @param path decoded path without the query string
 * @param query decoded query parameters by name; only the first value of a repeated
 * parameter
 * @param headers header values by lower-case name; the values of a repeated header are
 * joined by a comma
 * @param body body, or an empty array; not copied, so it must not be modified
 * @param remoteAddress address of the peer in the form {@code host:port}
 * @param receivedAt time at which the request was completely received, in nanoseconds of
 * the monotonic clock
 */
public record HttpServerRequest(String method, String path, Map<String, String> query, Map<String, String> headers,
		byte[] body, String remoteAddress, long receivedAt) {

	public HttpServerRequest {
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(path, "path must not be null");
		Objects.requireNonNull(body, "body must not be null");
		Objects.requireNonNull(remoteAddress, "remoteAddress must not be null");
		query = Map.copyOf(query);
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns the value of a header.
	 * @param lowerCaseName header name in lower case
	 * @return the value, or empty if the request has no such header
	 */
	public Optional<String> header(String lowerCaseName) {
		return Optional.ofNullable(this.headers.get(lowerCaseName));
	}

}
