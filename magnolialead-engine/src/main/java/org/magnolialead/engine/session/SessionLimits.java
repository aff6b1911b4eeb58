package org.magnolialead.engine.session;

/**
 * Limits of what the clients of a daemon can make it keep. A character counts as one
 * byte.
 *
 * @param preparedStatements maximum number of prepared statements of a session
 * @param preparedBytes maximum size in bytes of their names and texts
 * @param variables maximum number of variables of a session
 * @param variableBytes maximum size in bytes of their names and values
 * @param totalBytes maximum size in bytes of what all sessions of the daemon keep, with
 * {@link SessionMemory#ENTRY_BYTES} for each entry and each distinct text counted once
 */
public record SessionLimits(int preparedStatements, int preparedBytes, int variables, int variableBytes,
		long totalBytes) {

	/**
	 * Default of both numbers: as many prepared statements as a member connection keeps.
	 */
	public static final int DEFAULT_NUMBER = ConnectionState.MAXIMUM_PREPARED_STATEMENTS;

	/**
	 * Default of both sizes in bytes: the largest message of a client, so that no single
	 * statement of an empty session is refused for its size alone.
	 */
	public static final int DEFAULT_BYTES = 1024 * 1024;

	/**
	 * Part of the maximum heap that all sessions may use by default. The rest is left for
	 * messages in flight and for the daemon itself.
	 */
	private static final int DEFAULT_HEAP_DIVISOR = 4;

	public SessionLimits {
		requirePositive("preparedStatements", preparedStatements);
		requirePositive("preparedBytes", preparedBytes);
		requirePositive("variables", variables);
		requirePositive("variableBytes", variableBytes);
		requirePositive("totalBytes", totalBytes);
	}

	/**
	 * Returns the limits of a daemon whose settings name none.
	 * @param heapBytes maximum size of the heap in bytes
	 * @return the limits
	 */
	public static SessionLimits defaults(long heapBytes) {
		return new SessionLimits(DEFAULT_NUMBER, DEFAULT_BYTES, DEFAULT_NUMBER, DEFAULT_BYTES,
				defaultTotalBytes(heapBytes));
	}

	/**
	 * Returns the default of the maximum size of what all sessions keep.
	 * @param heapBytes maximum size of the heap in bytes
	 * @return the size in bytes
	 */
	public static long defaultTotalBytes(long heapBytes) {
		return heapBytes / DEFAULT_HEAP_DIVISOR;
	}

	private static void requirePositive(String name, long value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive, found " + value);
		}
	}

}
