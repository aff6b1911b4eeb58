package org.magnolialead.engine.session;

/**
 * Limits of what the clients of a daemon can make it hold for a short time.
 *
 * @param connections maximum number of connections of clients
 * @param connectTimeoutMilliseconds maximum time in milliseconds from the start of a
 * connection until its {@code CONNECT} has arrived
 * @param lineTimeoutMilliseconds maximum time in milliseconds from the first to the last
 * byte of a message, without the time in which the daemon does not read
 * @param resultBytes maximum size in bytes of the result of one statement
 * @param memoryBytes maximum size in bytes of partial and large messages, unread replies
 * and results of all clients together
 */
public record ClientLimits(int connections, int connectTimeoutMilliseconds, int lineTimeoutMilliseconds,
		int resultBytes, long memoryBytes) {

	/**
	 * Default time for a {@code CONNECT}. Ordinary clients send it at once.
	 */
	public static final int DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 10_000;

	/**
	 * Default time for a message. The largest one takes 4 s over a link of 2 Mbit/s.
	 */
	public static final int DEFAULT_LINE_TIMEOUT_MILLISECONDS = 30_000;

	/** The rest is left for members, other daemons, HTTP connections and files. */
	private static final int CONNECTIONS_DIVISOR = 2;

	/**
	 * A result exists up to three times, as rows, as a reply and in the buffers of the
	 * connection.
	 */
	private static final int RESULT_DIVISOR = 16;

	private static final int MEMORY_DIVISOR = 4;

	public ClientLimits {
		requirePositive("connections", connections);
		requirePositive("connectTimeoutMilliseconds", connectTimeoutMilliseconds);
		requirePositive("lineTimeoutMilliseconds", lineTimeoutMilliseconds);
		requirePositive("resultBytes", resultBytes);
		requirePositive("memoryBytes", memoryBytes);
	}

	/**
	 * Returns the limits of a daemon whose settings name none.
	 * @param heapBytes maximum size of the heap in bytes
	 * @param descriptors maximum number of open descriptors of the process
	 * @return the limits
	 */
	public static ClientLimits defaults(long heapBytes, int descriptors) {
		return new ClientLimits(Math.max(1, descriptors / CONNECTIONS_DIVISOR), DEFAULT_CONNECT_TIMEOUT_MILLISECONDS,
				DEFAULT_LINE_TIMEOUT_MILLISECONDS, (int) Math.min(Integer.MAX_VALUE, heapBytes / RESULT_DIVISOR),
				heapBytes / MEMORY_DIVISOR);
	}

	private static void requirePositive(String name, long value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive, found " + value);
		}
	}

}
