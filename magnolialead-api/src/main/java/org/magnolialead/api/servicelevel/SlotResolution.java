package org.magnolialead.api.servicelevel;

import java.util.concurrent.TimeUnit;

/**
 * Lengths of the time slots in which daemons record service levels. The number of a slot
 * is the number of whole slot lengths since the Unix epoch on the wall clock of its
 * daemon.
 */
public enum SlotResolution {

	/** Slots of ten seconds over one hour. */
	TEN_SECONDS(TimeUnit.SECONDS.toMillis(10), 360),
	/** Slots of five minutes over three days. */
	FIVE_MINUTES(TimeUnit.MINUTES.toMillis(5), 864);

	private final long milliseconds;

	private final int retainedSlots;

	SlotResolution(long milliseconds, int retainedSlots) {
		this.milliseconds = milliseconds;
		this.retainedSlots = retainedSlots;
	}

	/**
	 * Returns the length of a slot.
	 * @return the length in milliseconds
	 */
	public long milliseconds() {
		return this.milliseconds;
	}

	/**
	 * Returns the number of most recent slots that are retained, including the current
	 * one.
	 * @return the number of retained slots
	 */
	public int retainedSlots() {
		return this.retainedSlots;
	}

	/**
	 * Returns the slot of a point in time.
	 * @param wallClockMilliseconds wall-clock time in milliseconds since the Unix epoch
	 * @return number of the slot
	 */
	public long slotAt(long wallClockMilliseconds) {
		return Math.floorDiv(wallClockMilliseconds, this.milliseconds);
	}

}
