package org.magnolialead.engine.consensus;

/**
 * Limits in bytes of the commands that the log of a member holds, in memory and on disk.
 *
 * @param snapshotBytes size of the committed commands since the last snapshot at which
 * the next snapshot is taken
 * @param retainedBytes maximum size of commands that a snapshot covers and that are kept
 * for members that lag slightly behind
 * @param maximumBytes size at which a leader refuses commands, and a follower entries,
 * until a snapshot is taken
 */
public record LogBudget(long snapshotBytes, long retainedBytes, long maximumBytes) {

	/**
	 * Fraction of the disk and of the heap that the log may use. While the log file is
	 * replaced, both its versions, the snapshot and the next snapshot are on the disk.
	 * While it is read, its bytes and its entries are in the heap.
	 */
	private static final int SHARE_OF_RESOURCES = 4;

	private static final int SNAPSHOT_SHARE = 4;

	private static final int RETAINED_SHARE = 8;

	/** Smallest limit, in bytes. It leaves room for several large commands. */
	static final long MINIMUM_BYTES = 4L * 1024 * 1024;

	public LogBudget {
		if (retainedBytes < 0 || snapshotBytes <= retainedBytes || maximumBytes <= snapshotBytes) {
			throw new IllegalArgumentException(
					"limits must increase from retainedBytes to maximumBytes, found %d, %d and %d"
						.formatted(retainedBytes, snapshotBytes, maximumBytes));
		}
	}

	/**
	 * Returns the limits for a member.
	 * @param diskBytes size of its disk in bytes
	 * @param heapBytes maximum size of its heap in bytes
	 * @return the limits
	 */
	public static LogBudget of(long diskBytes, long heapBytes) {
		long maximum = Math.max(MINIMUM_BYTES, Math.min(diskBytes, heapBytes) / SHARE_OF_RESOURCES);
		return new LogBudget(maximum / SNAPSHOT_SHARE, maximum / RETAINED_SHARE, maximum);
	}

}
