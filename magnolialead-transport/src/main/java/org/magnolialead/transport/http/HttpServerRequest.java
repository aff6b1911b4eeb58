package org.magnolialead.transport.http;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Completely received HTTP request.
 *
 * @param method method in upper case
 * @param path decoded path without the query
 * @param query decoded query parameters; of a repeated parameter the first
 * @param headers header values by lower-case name; repeated headers are joined by a comma
 * @param body body, empty if there is none; not copied and not to be changed
 * @param remoteAddress address of the peer in the form {@code host:port}
 * @param receivedAt time at which the request was complete, in nanoseconds of the
 * monotonic clock
 */
public record HttpServerRequest(String method, String path, Map<String, String> query, Map<String, String> headers, byte[] body,
		String remoteAddress, long receivedAt) {

	public HttpServerRequest {
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(path, "path must not be null");
		Objects.requireNonNull(body, "body must not be null");
		Objects.requireNonNull(remoteAddress, "remoteAddress must not be null");
		query = Map.copyOf(query);
		headers = Map.copyOf(headers);
	}

	/**
	 * Returns a header.
	 * @param lowerCaseName name in lower case
	 * @return the value, or empty if the header is missing
	 */
	public Optional<String> header(String lowerCaseName) {
		return Optional.ofNullable(this.headers.get(lowerCaseName));
	}

}
