package org.magnolialead.api.servicelevel;

import java.util.concurrent.TimeUnit;

/**
 * Lengths of the time slots in which daemons record service levels. A slot has the number
 * of whole slot lengths since 1970 on the wall clock of its daemon.
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
	 * Returns how many of the latest slots are kept, including the present one.
	 * @return the number of slots
	 */
	public int retainedSlots() {
		return this.retainedSlots;
	}

	/**
	 * Returns the slot of a point in time.
	 * @param wallClockMilliseconds milliseconds since 1970
	 * @return number of the slot
	 */
	public long slotAt(long wallClockMilliseconds) {
		return Math.floorDiv(wallClockMilliseconds, this.milliseconds);
	}

}
