package org.magnolialead.api.servicelevel;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * Write statistics of one database group in one time slot, as observed by one daemon. The
 * JSON form is an array in the order of the parameters.
 *
 * @param slot number of the slot
 * @param longestGapMilliseconds full length in milliseconds of the longest period without
 * an acknowledged write that overlaps this slot, or {@link #NO_GAP_KNOWN}
 * @param acknowledged writes that were acknowledged to callers of the daemon
 * @param notAcknowledged writes of callers of the daemon that were not acknowledged;
 * distinguishes a group without writes from one that refuses them
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonPropertyOrder({ "slot", "longestGapMilliseconds", "acknowledged", "notAcknowledged" })
public record WriteSlot(long slot, long longestGapMilliseconds, long acknowledged, long notAcknowledged) {

	/**
	 * Value for the longest gap of a slot before the first acknowledged write that the
	 * daemon observed, in which no gap can be measured.
	 */
	public static final long NO_GAP_KNOWN = -1;

	public WriteSlot {
		if (longestGapMilliseconds < NO_GAP_KNOWN || acknowledged < 0 || notAcknowledged < 0) {
			throw new IllegalArgumentException("slot %d has a negative count or an invalid gap".formatted(slot));
		}
	}
}
