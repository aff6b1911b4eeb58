package org.magnolialead.daemon.servicelevel;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.magnolialead.api.servicelevel.SlotResolution;
import org.magnolialead.api.servicelevel.WriteSlot;

/**
 * Write counters and gaps of one database group, by slot. Gaps are the times between
 * acknowledged writes; they are measured with the monotonic clock and recorded in every
 * slot that they overlap.
 */
final class WriteSeries {

	private static final int ACKNOWLEDGED = 0;

	private static final int NOT_ACKNOWLEDGED = 1;

	/** Longest gap in milliseconds plus 1; 0 means that no gap is recorded. */
	private static final int LONGEST_GAP_PLUS_ONE = 2;

	private static final int COUNTERS = LONGEST_GAP_PLUS_ONE + 1;

	private final SlotRing tenSeconds = new SlotRing(SlotResolution.TEN_SECONDS, COUNTERS);

	private final SlotRing fiveMinutes = new SlotRing(SlotResolution.FIVE_MINUTES, COUNTERS);

	private final AtomicReference<Long> lastAcknowledged = new AtomicReference<>();

	void countAnswer(long wallClock, boolean acknowledged) {
		int counter = acknowledged ? ACKNOWLEDGED : NOT_ACKNOWLEDGED;
		this.tenSeconds.increment(SlotResolution.TEN_SECONDS.slotAt(wallClock), counter);
		this.fiveMinutes.increment(SlotResolution.FIVE_MINUTES.slotAt(wallClock), counter);
	}

	void acknowledged(long now, long wallClock) {
		Long previous = this.lastAcknowledged.getAndAccumulate(now, WriteSeries::later);
		recordGap((previous != null) ? now - previous : 0, wallClock);
	}

	/**
	 * Records the gap since the last acknowledged write, which has not ended yet.
	 * @param now current monotonic time in nanoseconds
	 * @param wallClock current wall-clock time in milliseconds since 1970
	 */
	void recordOpenGap(long now, long wallClock) {
		Long previous = this.lastAcknowledged.get();
		if (previous != null) {
			recordGap(now - previous, wallClock);
		}
	}

	private static Long later(Long first, Long second) {
		return (first == null || second - first > 0) ? second : first;
	}

	private void recordGap(long nanoseconds, long wallClock) {
		long milliseconds = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanoseconds));
		recordGap(this.tenSeconds, milliseconds, wallClock);
		recordGap(this.fiveMinutes, milliseconds, wallClock);
	}

	private static void recordGap(SlotRing ring, long milliseconds, long wallClock) {
		long last = ring.resolution().slotAt(wallClock);
		long first = Math.max(ring.resolution().slotAt(wallClock - milliseconds),
				last - ring.resolution().retainedSlots() + 1);
		int value = (int) Math.min(milliseconds + 1, Integer.MAX_VALUE);
		for (long slot = first; slot <= last; slot++) {
			ring.raiseTo(slot, LONGEST_GAP_PLUS_ONE, value);
		}
	}

	List<WriteSlot> slots(SlotResolution resolution, long wallClock) {
		SlotRing ring = (resolution == SlotResolution.TEN_SECONDS) ? this.tenSeconds : this.fiveMinutes;
		List<WriteSlot> slots = new ArrayList<>();
		long last = resolution.slotAt(wallClock);
		for (long slot = last - resolution.retainedSlots() + 1; slot <= last; slot++) {
			int gap = ring.value(slot, LONGEST_GAP_PLUS_ONE);
			int acknowledged = ring.value(slot, ACKNOWLEDGED);
			int notAcknowledged = ring.value(slot, NOT_ACKNOWLEDGED);
			if (gap > 0 || acknowledged > 0 || notAcknowledged > 0) {
				slots.add(new WriteSlot(slot, gap - 1L, acknowledged, notAcknowledged));
			}
		}
		return slots;
	}

}
