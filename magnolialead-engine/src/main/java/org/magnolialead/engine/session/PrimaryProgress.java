package org.magnolialead.engine.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Objects;
import java.util.Optional;

import org.magnolialead.api.LogPosition;

/**
 * Log positions of the primary of one group together with the times at which they were
 * asked for. A commit that anyone acknowledged before that time is included in the
 * position, so a replica at the position misses nothing that is older. Only answers that
 * prove that the member led count: a write, a commit or the begin of a transaction that
 * may write. Not safe for concurrent use.
 */
public final class PrimaryProgress {

	private static final long RETENTION_NANOSECONDS = 5_000_000_000L;

	/** Samples closer together than this bring no benefit to reads. */
	private static final long SAMPLE_INTERVAL_NANOSECONDS = 20_000_000L;

	private final Deque<Sample> samples = new ArrayDeque<>();

	private LogPosition latest = LogPosition.NONE;

	/**
	 * Notes a position of the primary.
	 * @param requestedAt time in nanoseconds before the request left for the primary
	 * @param position position in its answer
	 */
	public void recordPosition(long requestedAt, LogPosition position) {
		this.latest = LogPosition.later(this.latest, position);
		Sample last = this.samples.peekLast();
		if (last != null && requestedAt - last.requestedAt() < SAMPLE_INTERVAL_NANOSECONDS) {
			return;
		}
		this.samples.addLast(new Sample(requestedAt, this.latest));
		while (requestedAt - this.samples.peekFirst().requestedAt() > RETENTION_NANOSECONDS) {
			this.samples.removeFirst();
		}
	}

	/**
	 * Notes the first position of a new primary. It may be behind what was known: a
	 * promotion rolls back what the promoted member lacked, and the term of the position
	 * is that of its last commit.
	 * @param requestedAt time in nanoseconds before the request left for the primary
	 * @param position position in its answer
	 */
	public void recordNewPrimary(long requestedAt, LogPosition position) {
		if (!position.includes(this.latest)) {
			this.samples.clear();
			this.latest = position;
		}
		recordPosition(requestedAt, position);
	}

	/**
	 * Returns the position that a read needs to miss no commit acknowledged before a
	 * time. Of all samples that suffice, the earliest asks least of a replica.
	 * @param time the time in nanoseconds
	 * @return the position, or empty if no sample is recent enough
	 */
	public Optional<LogPosition> positionAsOf(long time) {
		for (Iterator<Sample> oldestFirst = this.samples.iterator(); oldestFirst.hasNext();) {
			Sample sample = oldestFirst.next();
			if (sample.requestedAt() - time >= 0) {
				return Optional.of(sample.position());
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the term of the latest position.
	 * @return the term, 0 if no position is known
	 */
	public long term() {
		return this.latest.term();
	}

	/**
	 * Forgets all samples, because the clock may not have counted the time since they
	 * were taken.
	 */
	public void clear() {
		this.samples.clear();
	}

	private record Sample(long requestedAt, LogPosition position) {

		Sample {
			Objects.requireNonNull(position, "position must not be null");
		}
	}

}
