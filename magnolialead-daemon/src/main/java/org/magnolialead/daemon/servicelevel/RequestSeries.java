package org.magnolialead.daemon.servicelevel;

import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.Outcome;
import org.magnolialead.api.servicelevel.RequestSlot;
import org.magnolialead.api.servicelevel.SlotResolution;

/**
 * Request counters of one profile and rank, by slot.
 */
final class RequestSeries {

	// The first counters are those of the outcomes, indexed by ordinal.
	private static final int WITHIN_DEADLINE = Outcome.values().length;

	private static final int READS = WITHIN_DEADLINE + 1;

	private static final int REPLICA_READS = READS + 1;

	private static final int COUNTERS = REPLICA_READS + 1;

	private final SlotRing tenSeconds = new SlotRing(SlotResolution.TEN_SECONDS, COUNTERS);

	private final SlotRing fiveMinutes = new SlotRing(SlotResolution.FIVE_MINUTES, COUNTERS);

	void record(long wallClock, ServedRequest request) {
		record(this.tenSeconds, wallClock, request);
		record(this.fiveMinutes, wallClock, request);
	}

	private static void record(SlotRing ring, long wallClock, ServedRequest request) {
		long slot = ring.resolution().slotAt(wallClock);
		ring.increment(slot, request.outcome().ordinal());
		if (request.withinDeadline()) {
			ring.increment(slot, WITHIN_DEADLINE);
		}
		if (request.read() && request.outcome() == Outcome.DONE) {
			ring.increment(slot, READS);
			if (request.byReplica()) {
				ring.increment(slot, REPLICA_READS);
			}
		}
	}

	List<RequestSlot> slots(SlotResolution resolution, long wallClock) {
		SlotRing ring = (resolution == SlotResolution.TEN_SECONDS) ? this.tenSeconds : this.fiveMinutes;
		List<RequestSlot> slots = new ArrayList<>();
		long last = resolution.slotAt(wallClock);
		for (long slot = last - resolution.retainedSlots() + 1; slot <= last; slot++) {
			RequestSlot counts = read(ring, slot);
			if (counts.requests() > 0) {
				slots.add(counts);
			}
		}
		return slots;
	}

	/**
	 * Reads a slot that may be updated concurrently. Counters are read in the reverse
	 * order of their increments, and each partial count is capped at its total in case
	 * the chunk of the slot is replaced in the meantime.
	 * @param ring the ring
	 * @param slot number of the slot
	 * @return the counts
	 */
	private static RequestSlot read(SlotRing ring, long slot) {
		int replicaReads = ring.value(slot, REPLICA_READS);
		int reads = ring.value(slot, READS);
		int withinDeadline = ring.value(slot, WITHIN_DEADLINE);
		int unknown = ring.value(slot, Outcome.UNKNOWN.ordinal());
		int notRun = ring.value(slot, Outcome.NOT_RUN.ordinal());
		int done = ring.value(slot, Outcome.DONE.ordinal());
		return new RequestSlot(slot, done, notRun, unknown, Math.min(withinDeadline, done), Math.min(reads, done),
				Math.min(replicaReads, Math.min(reads, done)));
	}

}
