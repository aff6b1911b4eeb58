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
 * Log positions that the reads of each session must include. The table is bounded:
 * evicting a session raises the floor, a position that applies to all sessions.
 * Thread-safe.
 */
public final class SessionPositions {

	/**
	 * Default maximum number of sessions. At about 150 bytes per session the table of one
	 * group takes up to about 10 MB.
	 */
	public static final int DEFAULT_CAPACITY = 65_536;

	private final int capacity;

	private final Map<String, LogPosition> positions = new ConcurrentHashMap<>();

	private final Queue<EvictionCandidate> evictionOrder = new ConcurrentLinkedQueue<>();

	private final AtomicInteger count = new AtomicInteger();

	private final AtomicReference<Floor> floor = new AtomicReference<>(new Floor(LogPosition.NONE, false));

	/**
	 * Creates an empty table without a floor.
	 * @param capacity maximum number of sessions
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
	 * @param session name of the session; an empty name denotes no session
	 * @return the position, or empty if it is not known because the floor has not been
	 * set since the takeover by this owner; only the primary may then serve the read
	 */
	public Optional<LogPosition> required(String session) {
		if (session.isEmpty()) {
			return Optional.of(LogPosition.NONE);
		}
		// Eviction raises the floor before it removes the entry, so the entry is read
		// before the floor. It is read again afterwards to ensure that both values are
		// consistent.
		LogPosition own = this.positions.getOrDefault(session, LogPosition.NONE);
		while (true) {
			Floor presentFloor = this.floor.get();
			LogPosition again = this.positions.getOrDefault(session, LogPosition.NONE);
			if (again.equals(own)) {
				return presentFloor.known() ? Optional.of(LogPosition.later(presentFloor.position(), again))
						: Optional.empty();
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
	 * Raises the position that applies to all sessions. The first call after takeover
	 * permits replicas to serve reads of sessions.
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
	 * Returns the number of sessions in the table.
	 * @return the number
	 */
	public int size() {
		return this.count.get();
	}

	// Evicts the session that has not written for the longest time. A session that has
	// written since it was queued is queued again.
	private void evictOne() {
		EvictionCandidate oldest = this.evictionOrder.poll();
		while (oldest != null) {
			LogPosition present = this.positions.get(oldest.session());
			if (oldest.position().equals(present)) {
				LogPosition evicted = present;
				this.floor.updateAndGet((presentFloor) -> presentFloor.raised(evicted, false));
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
