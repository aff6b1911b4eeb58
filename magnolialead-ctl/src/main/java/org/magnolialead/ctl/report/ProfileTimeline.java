package org.magnolialead.ctl.report;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.magnolialead.api.Rank;
import org.magnolialead.api.servicelevel.RequestSlot;
import org.magnolialead.api.servicelevel.SlotResolution;

/**
 * Request counts of one profile and rank across all daemons. Each array holds the
 * retained slots up to the end of the report, oldest first.
 */
final class ProfileTimeline {

	private static final RequestSlot EMPTY_SLOT = new RequestSlot(0, 0, 0, 0, 0, 0, 0);

	private final String profile;

	private final Rank rank;

	private final Map<SlotResolution, RequestSlot[]> slots = new EnumMap<>(SlotResolution.class);

	ProfileTimeline(String profile, Rank rank) {
		this.profile = profile;
		this.rank = rank;
		for (SlotResolution resolution : SlotResolution.values()) {
			RequestSlot[] empty = new RequestSlot[resolution.retainedSlots()];
			Arrays.fill(empty, EMPTY_SLOT);
			this.slots.put(resolution, empty);
		}
	}

	String profile() {
		return this.profile;
	}

	Rank rank() {
		return this.rank;
	}

	/**
	 * Adds the slots of one daemon.
	 * @param resolution length of the slots
	 * @param added the slots
	 * @param firstSlot number of the first slot of this timeline on the daemon's clock
	 */
	void add(SlotResolution resolution, List<RequestSlot> added, long firstSlot) {
		RequestSlot[] merged = this.slots.get(resolution);
		for (RequestSlot slot : added) {
			long index = slot.slot() - firstSlot;
			if (index >= 0 && index < merged.length) {
				merged[(int) index] = merged[(int) index].plus(slot);
			}
		}
	}

	/**
	 * Returns the request counts of a window.
	 * @param resolution length of the slots
	 * @param end index after the last slot of the window
	 * @param count number of slots; slots before the start of the timeline are empty
	 * @return the sum
	 */
	RequestSlot sum(SlotResolution resolution, int end, int count) {
		RequestSlot[] merged = this.slots.get(resolution);
		RequestSlot sum = EMPTY_SLOT;
		for (int index = Math.max(0, end - count); index < end; index++) {
			sum = sum.plus(merged[index]);
		}
		return sum;
	}

	RequestSlot sum(BurnWindow window) {
		return sum(window.resolution(), window.resolution().retainedSlots(), window.slots());
	}

}
