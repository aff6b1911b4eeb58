package org.magnolialead.engine.owner;

import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.LogPosition;

/**
 * Samples of the primary's position, oldest first. A log at or beyond the position of a
 * sample holds all writes made before the sample's time. Immutable.
 *
 * @param samples samples by ascending time and position
 */
public record PrimaryTimeline(List<Sample> samples) {

	/** Timeline without samples. */
	public static final PrimaryTimeline EMPTY = new PrimaryTimeline(List.of());

	/**
	 * Maximum number of samples; above it every second sample of the older half is
	 * dropped.
	 */
	static final int SAMPLE_LIMIT = 512;

	/** Minimum interval between samples of different positions, in nanoseconds. */
	static final long SAMPLE_INTERVAL_NANOSECONDS = 5_000_000L;

	public PrimaryTimeline {
		samples = List.copyOf(samples);
	}

	/**
	 * Adds a sample.
	 * @param sentAt time at which the status request was sent
	 * @param position position in the response of the primary
	 * @return the timeline with the sample, or this timeline if the sample adds no
	 * information
	 */
	PrimaryTimeline with(long sentAt, LogPosition position) {
		List<Sample> next = new ArrayList<>(this.samples);
		while (!next.isEmpty() && !position.includes(next.get(next.size() - 1).position())) {
			next.remove(next.size() - 1);
		}
		if (!next.isEmpty()) {
			Sample last = next.get(next.size() - 1);
			long distance = sentAt - last.sentAt();
			boolean samePosition = last.position().equals(position);
			if (distance <= 0 || (!samePosition && distance < SAMPLE_INTERVAL_NANOSECONDS)) {
				return (next.size() == this.samples.size()) ? this : new PrimaryTimeline(next);
			}
			if (samePosition) {
				next.remove(next.size() - 1);
			}
		}
		next.add(new Sample(sentAt, position));
		return new PrimaryTimeline((next.size() > SAMPLE_LIMIT) ? thinned(next) : next);
	}

	/**
	 * Returns the age of a log.
	 * @param position position of the log
	 * @param now present time in nanoseconds of the monotonic clock
	 * @return the age in nanoseconds, or {@link Long#MAX_VALUE} if the log has not
	 * reached any sample
	 */
	long ageNanoseconds(LogPosition position, long now) {
		int low = 0;
		int high = this.samples.size();
		while (low < high) {
			int middle = (low + high) >>> 1;
			if (position.includes(this.samples.get(middle).position())) {
				low = middle + 1;
			}
			else {
				high = middle;
			}
		}
		return (low == 0) ? Long.MAX_VALUE : Math.max(0, now - this.samples.get(low - 1).sentAt());
	}

	// Drops every second sample of the older half instead of the oldest samples, because
	// a lagging replica needs an old sample that it has reached.
	private static List<Sample> thinned(List<Sample> samples) {
		List<Sample> kept = new ArrayList<>();
		for (int i = 0; i < samples.size(); i++) {
			if (i % 2 == 0 || i >= samples.size() / 2) {
				kept.add(samples.get(i));
			}
		}
		return kept;
	}

	/**
	 * Sample of the primary's position.
	 *
	 * @param sentAt time at which the status request was sent
	 * @param position position in the response of the primary
	 */
	public record Sample(long sentAt, LogPosition position) {
	}

}
