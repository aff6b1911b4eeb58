package org.magnolialead.engine.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Objects;
import java.util.Optional;

import org.magnolialead.api.LogPosition;

/**
 * Samples of the log position of a group's primary, each with the time at which it was
 * requested. A position includes every commit acknowledged before its request was sent,
 * so a replica at the position has all of them. Only responses that prove that the member
 * was the primary are recorded: those to a write, a commit or the begin of a transaction
 * that may write. Not thread-safe.
 */
public final class PrimaryProgress {

	private static final long RETENTION_NANOSECONDS = 5_000_000_000L;

	/**
	 * Minimum interval between samples, in nanoseconds; denser samples do not improve the
	 * selection of replicas.
	 */
	private static final long SAMPLE_INTERVAL_NANOSECONDS = 20_000_000L;

	private final Deque<Sample> samples = new ArrayDeque<>();

	private LogPosition latest = LogPosition.NONE;

	/**
	 * Records a position of the primary.
	 * @param requestedAt time in nanoseconds before the request left for the primary
	 * @param position position in the response
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
	 * Records the first position of a new primary. It may be lower than the latest known
	 * one, because a promotion rolls back commits that the promoted member did not have.
	 * The term of the position is that of its last commit.
	 * @param requestedAt time in nanoseconds before the request left for the primary
	 * @param position position in the response
	 */
	public void recordNewPrimary(long requestedAt, LogPosition position) {
		if (!position.includes(this.latest)) {
			this.samples.clear();
			this.latest = position;
		}
		recordPosition(requestedAt, position);
	}

	/**
	 * Returns a position that includes every commit acknowledged before a time. Of all
	 * sufficient samples it uses the earliest one, whose position the most replicas have
	 * reached.
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
	 * Returns the latest position.
	 * @return the position, {@link LogPosition#NONE} if none is known
	 */
	public LogPosition latest() {
		return this.latest;
	}

	/**
	 * Removes all samples. Used after a suspension of the VM, during which the monotonic
	 * clock may have stopped, so that the age of the samples is not known.
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
