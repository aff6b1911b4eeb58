package org.magnolialead.ctl.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.magnolialead.api.servicelevel.SlotResolution;
import org.magnolialead.api.servicelevel.WriteSlot;

/**
 * Write statistics of one database group across all daemons.
 */
final class GroupTimeline {

	private final String group;

	private final Map<SlotResolution, List<WriteSlot[]>> byDaemon = new EnumMap<>(SlotResolution.class);

	GroupTimeline(String group) {
		this.group = group;
		for (SlotResolution resolution : SlotResolution.values()) {
			this.byDaemon.put(resolution, new ArrayList<>());
		}
	}

	String group() {
		return this.group;
	}

	/**
	 * Adds the slots of one daemon.
	 * @param resolution length of the slots
	 * @param added the slots
	 * @param firstSlot number of the first slot of this timeline on the daemon's clock
	 */
	void add(SlotResolution resolution, List<WriteSlot> added, long firstSlot) {
		WriteSlot[] slots = new WriteSlot[resolution.retainedSlots()];
		Arrays.fill(slots, new WriteSlot(0, WriteSlot.NO_GAP_KNOWN, 0, 0));
		for (WriteSlot slot : added) {
			long index = slot.slot() - firstSlot;
			if (index >= 0 && index < slots.length) {
				slots[(int) index] = slot;
			}
		}
		this.byDaemon.get(resolution).add(slots);
	}

	/**
	 * Returns the longest write gap that overlaps a slot. Each daemon observes only part
	 * of the acknowledged writes, so the gap that it measures is at least as long as the
	 * actual one; the shortest gap of all daemons is used. The neighbouring slots of each
	 * daemon are included, because clocks may differ by up to one slot. A daemon without
	 * a known gap in the preceding slot has just begun to observe the group, and the gap
	 * that it measures may be too short. It is used only if no other daemon has a known
	 * gap in both slots.
	 * @param resolution length of the slots
	 * @param index index of the slot
	 * @return the gap in milliseconds, or {@link WriteSlot#NO_GAP_KNOWN}
	 */
	long gapMilliseconds(SlotResolution resolution, int index) {
		long shortest = Long.MAX_VALUE;
		long shortestOfNewDaemons = Long.MAX_VALUE;
		for (WriteSlot[] slots : this.byDaemon.get(resolution)) {
			if (!hasKnownGap(slots, index)) {
				continue;
			}
			long longest = longestOfNeighbours(slots, index);
			if (index == 0 || hasKnownGap(slots, index - 1)) {
				shortest = Math.min(shortest, longest);
			}
			shortestOfNewDaemons = Math.min(shortestOfNewDaemons, longest);
		}
		long found = (shortest != Long.MAX_VALUE) ? shortest : shortestOfNewDaemons;
		return (found != Long.MAX_VALUE) ? found : WriteSlot.NO_GAP_KNOWN;
	}

	long longestGapMilliseconds(BurnWindow window) {
		int end = window.resolution().retainedSlots();
		long longest = WriteSlot.NO_GAP_KNOWN;
		for (int index = end - window.slots(); index < end; index++) {
			longest = Math.max(longest, gapMilliseconds(window.resolution(), index));
		}
		return longest;
	}

	long acknowledged(BurnWindow window) {
		return window(window).stream().mapToLong(WriteSlot::acknowledged).sum();
	}

	long notAcknowledged(BurnWindow window) {
		return window(window).stream().mapToLong(WriteSlot::notAcknowledged).sum();
	}

	private List<WriteSlot> window(BurnWindow window) {
		int end = window.resolution().retainedSlots();
		return this.byDaemon.get(window.resolution())
			.stream()
			.flatMap((slots) -> Arrays.stream(slots, end - window.slots(), end))
			.toList();
	}

	private static boolean hasKnownGap(WriteSlot[] slots, int index) {
		return slots[index].longestGapMilliseconds() != WriteSlot.NO_GAP_KNOWN;
	}

	private static long longestOfNeighbours(WriteSlot[] slots, int index) {
		long longest = 0;
		for (int neighbour = Math.max(0, index - 1); neighbour <= Math.min(slots.length - 1, index + 1); neighbour++) {
			longest = Math.max(longest, slots[neighbour].longestGapMilliseconds());
		}
		return longest;
	}

}
