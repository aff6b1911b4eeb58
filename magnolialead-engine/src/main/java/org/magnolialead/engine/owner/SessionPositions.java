package org.magnolialead.engine.owner;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.magnolialead.api.LogPosition;

/**
 * Positions that the reads of each session must include. The table is bounded: evicting a
 * session raises a floor that applies to every session. Thread-safe.
 */
public final class SessionPositions {

	/**
	 * Default number of sessions kept. At about 150 bytes each the table of one group
	 * stays near 10 MB.
	 */
	public static final int DEFAULT_CAPACITY = 65_536;

	private final int capacity;

	private final Map<String, LogPosition> positions = new ConcurrentHashMap<>();

	private final Queue<EvictionCandidate> evictionOrder = new ConcurrentLinkedQueue<>();

	private final AtomicInteger count = new AtomicInteger();

	private final AtomicReference<Floor> floor = new AtomicReference<>(new Floor(LogPosition.NONE, false));

	/**
	 * Creates an empty table without a floor.
	 * @param capacity greatest number of sessions kept
	 */
	public SessionPositions(int capacity) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity must be positive, found " + capacity);
		}
		this.capacity = capacity;
	}

	/**
	 * Returns the position that a read of a session must include. The position of the
	 * session's token applies in addition.
	 * @param session name of the session; an empty name stands for no session
	 * @return the position; empty if it is not known, because the floor has not been set
	 * since takeover, so that only the primary may serve the read
	 */
	public Optional<LogPosition> required(String session) {
		if (session.isEmpty()) {
			return Optional.of(LogPosition.NONE);
		}
		// The table is read before the floor, because eviction raises the floor before it
		// removes the entry, and again after it, so that both values belong to one
		// moment.
		LogPosition own = this.positions.getOrDefault(session, LogPosition.NONE);
		while (true) {
			Floor lowest = this.floor.get();
			LogPosition again = this.positions.getOrDefault(session, LogPosition.NONE);
			if (again.equals(own)) {
				return lowest.known() ? Optional.of(LogPosition.later(lowest.position(), again)) : Optional.empty();
			}
			own = again;
		}
	}

	/**
	 * Records a write of a session, whether acknowledged or of unknown outcome.
	 * @param session name of the session; an empty name is ignored
	 * @param position position of the write, or of the primary after it
	 */
	public void recordWrite(String session, LogPosition position) {
		Objects.requireNonNull(position, "position must not be null");
		if (session.isEmpty()) {
			return;
		}
		LogPosition[] previous = new LogPosition[1];
		LogPosition stored = this.positions.compute(session, (name, present) -> {
			previous[0] = present;
			return (present != null) ? LogPosition.later(present, position) : position;
		});
		if (previous[0] == null) {
			this.evictionOrder.add(new EvictionCandidate(session, stored));
			if (this.count.incrementAndGet() > this.capacity) {
				evictOne();
			}
		}
	}

	/**
	 * Raises the position that applies to every session. The first call after takeover
	 * makesKnown replicas to reads.
	 * @param position the new floor; ignored if it is behind the present one
	 */
	public void raiseFloor(LogPosition position) {
		Objects.requireNonNull(position, "position must not be null");
		this.floor.updateAndGet((present) -> present.raised(position, true));
	}

	/**
	 * Tells whether the floor has been set since takeover.
	 * @return {@code true} if replicas may serve reads of sessions
	 */
	public boolean floorKnown() {
		return this.floor.get().known();
	}

	/**
	 * Returns the number of sessions kept.
	 * @return the number
	 */
	public int size() {
		return this.count.get();
	}

	// Evicts the session that has not written for the longest time. A session that wrote
	// since it was queued gets another turn.
	private void evictOne() {
		EvictionCandidate oldest = this.evictionOrder.poll();
		while (oldest != null) {
			LogPosition present = this.positions.get(oldest.session());
			if (oldest.position().equals(present)) {
				LogPosition evicted = present;
				this.floor.updateAndGet((lowest) -> lowest.raised(evicted, false));
				if (this.positions.remove(oldest.session(), present)) {
					this.count.decrementAndGet();
					return;
				}
				present = this.positions.get(oldest.session());
			}
			this.evictionOrder.add(new EvictionCandidate(oldest.session(), present));
			oldest = this.evictionOrder.poll();
		}
	}

	private record Floor(LogPosition position, boolean known) {

		Floor raised(LogPosition other, boolean makesKnown) {
			return new Floor(LogPosition.later(this.position, other), this.known || makesKnown);
		}

	}

	private record EvictionCandidate(String session, LogPosition position) {
	}

}
