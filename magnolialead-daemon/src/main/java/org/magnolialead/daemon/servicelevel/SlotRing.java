package org.magnolialead.daemon.servicelevel;

import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicReferenceArray;

import org.magnolialead.api.servicelevel.SlotResolution;

/**
 * Ring buffer of counters for the latest slots of one resolution. Slots are stored in
 * chunks that are allocated on first use and replaced as a whole, so that threads can
 * record without locks and a slot never contains counts of a slot that previously
 * occupied its place.
 */
final class SlotRing {

	/**
	 * Number of slots per chunk; divides the number of slots of both resolutions. Larger
	 * chunks reduce the overhead of object headers, smaller ones the unused part of the
	 * oldest chunk.
	 */
	private static final int SLOTS_PER_CHUNK = 36;

	private final SlotResolution resolution;

	private final int counters;

	private final AtomicReferenceArray<Chunk> chunks;

	/**
	 * Creates an empty ring.
	 * @param resolution length and number of the slots
	 * @param counters number of counters of each slot
	 */
	SlotRing(SlotResolution resolution, int counters) {
		this.resolution = resolution;
		this.counters = counters;
		// One additional chunk because the oldest and the newest are only partly in use.
		this.chunks = new AtomicReferenceArray<>(resolution.retainedSlots() / SLOTS_PER_CHUNK + 1);
	}

	SlotResolution resolution() {
		return this.resolution;
	}

	void increment(long slot, int counter) {
		chunk(slot).values.incrementAndGet(index(slot, counter));
	}

	/**
	 * Raises a counter to a value unless it is already at least that large.
	 * @param slot number of the slot
	 * @param counter index of the counter
	 * @param value the minimum value of the counter
	 */
	void raiseTo(long slot, int counter, int value) {
		AtomicIntegerArray values = chunk(slot).values;
		int index = index(slot, counter);
		if (values.get(index) < value) {
			values.accumulateAndGet(index, value, Math::max);
		}
	}

	/**
	 * Returns a counter.
	 * @param slot number of the slot
	 * @param counter index of the counter
	 * @return its value; 0 if nothing was recorded
	 */
	int value(long slot, int counter) {
		long number = Math.floorDiv(slot, SLOTS_PER_CHUNK);
		Chunk chunk = this.chunks.get((int) Math.floorMod(number, (long) this.chunks.length()));
		return (chunk != null && chunk.number == number) ? chunk.values.get(index(slot, counter)) : 0;
	}

	private Chunk chunk(long slot) {
		long number = Math.floorDiv(slot, SLOTS_PER_CHUNK);
		int position = (int) Math.floorMod(number, (long) this.chunks.length());
		Chunk chunk = this.chunks.get(position);
		while (chunk == null || chunk.number != number) {
			Chunk next = new Chunk(number, new AtomicIntegerArray(SLOTS_PER_CHUNK * this.counters));
			chunk = this.chunks.compareAndSet(position, chunk, next) ? next : this.chunks.get(position);
		}
		return chunk;
	}

	private int index(long slot, int counter) {
		return Math.floorMod(slot, SLOTS_PER_CHUNK) * this.counters + counter;
	}

	private record Chunk(long number, AtomicIntegerArray values) {
	}

}
