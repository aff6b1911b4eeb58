package org.magnolialead.transport.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Settings of an HTTP server.
 *
 * @param host local address
 * @param port local port, or 0 for any free port
 * @param maximumBodyBytes maximum size of a request body in bytes
 * @param maximumHeaderBytes maximum size in bytes of the request line, and of all headers
 * together
 * @param receiveTimeout maximum time from the first to the last byte of a request
 * @param idleTimeout maximum time for which a connection stays open without a request,
 * and maximum time for writing a response
 * @param maximumConnections maximum number of open connections
 * @param maximumTotalBodyBytes maximum size in bytes of all request bodies that are
 * received or handled
 */
public record HttpServerSettings(String host, int port, int maximumBodyBytes, int maximumHeaderBytes,
		Duration receiveTimeout, Duration idleTimeout, int maximumConnections, int maximumTotalBodyBytes) {

	/**
	 * Default maximum size of a request body in bytes. Leaves room in a peer frame of 1
	 * MiB for the other fields of a forwarded request.
	 */
	public static final int DEFAULT_MAXIMUM_BODY_BYTES = 256 * 1_024;

	/**
	 * Default maximum size in bytes of the request line, and of all headers together.
	 */
	public static final int DEFAULT_MAXIMUM_HEADER_BYTES = 16 * 1_024;

	/**
	 * Default maximum size in bytes of all request bodies.
	 */
	public static final int DEFAULT_MAXIMUM_TOTAL_BODY_BYTES = 16 * 1_024 * 1_024;

	/**
	 * Default receive timeout.
	 */
	public static final Duration DEFAULT_RECEIVE_TIMEOUT = Duration.ofSeconds(10);

	/**
	 * Default idle timeout.
	 */
	public static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofMinutes(10);

	/**
	 * Default maximum number of open connections.
	 */
	public static final int DEFAULT_MAXIMUM_CONNECTIONS = 10_000;

	public HttpServerSettings {
		Objects.requireNonNull(host, "host must not be null");
		if (port < 0 || port > 65_535) {
			throw new IllegalArgumentException("port must be from 0 to 65535, found " + port);
		}
		if (maximumBodyBytes < 1 || maximumHeaderBytes < 1 || maximumConnections < 1 || maximumTotalBodyBytes < 1) {
			throw new IllegalArgumentException(
					"limits must be positive, found body %d, headers %d, connections %d, total bodies %d"
						.formatted(maximumBodyBytes, maximumHeaderBytes, maximumConnections, maximumTotalBodyBytes));
		}
		if (!isPositive(receiveTimeout) || !isPositive(idleTimeout)) {
			throw new IllegalArgumentException(
					"timeouts must be positive, found receive %s, idle %s".formatted(receiveTimeout, idleTimeout));
		}
	}

	/**
	 * Creates settings with the default limit of all request bodies.
	 * @param host local address
	 * @param port local port, or 0 for any free port
	 * @param maximumBodyBytes maximum size of a request body in bytes
	 * @param maximumHeaderBytes maximum size in bytes of the request line, and of all
	 * headers together
	 * @param receiveTimeout maximum time from the first to the last byte of a request
	 * @param idleTimeout maximum time for which a connection stays open without a request
	 * @param maximumConnections maximum number of open connections
	 */
	public HttpServerSettings(String host, int port, int maximumBodyBytes, int maximumHeaderBytes,
			Duration receiveTimeout, Duration idleTimeout, int maximumConnections) {
		this(host, port, maximumBodyBytes, maximumHeaderBytes, receiveTimeout, idleTimeout, maximumConnections,
				DEFAULT_MAXIMUM_TOTAL_BODY_BYTES);
	}

	/**
	 * Returns settings with default limits.
	 * @param host local address
	 * @param port local port, or 0 for any free port
	 * @return the settings
	 */
	public static HttpServerSettings defaults(String host, int port) {
		return new HttpServerSettings(host, port, DEFAULT_MAXIMUM_BODY_BYTES, DEFAULT_MAXIMUM_HEADER_BYTES,
				DEFAULT_RECEIVE_TIMEOUT, DEFAULT_IDLE_TIMEOUT, DEFAULT_MAXIMUM_CONNECTIONS,
				DEFAULT_MAXIMUM_TOTAL_BODY_BYTES);
	}

	private static boolean isPositive(Duration duration) {
		return !duration.isNegative() && !duration.isZero();
	}

}
