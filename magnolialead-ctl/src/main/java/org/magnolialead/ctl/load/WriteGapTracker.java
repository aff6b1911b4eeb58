package org.magnolialead.ctl.load;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Longest time between acknowledged writes of each group. Thread-safe.
 */
final class WriteGapTracker {

	private static final double NANOSECONDS_PER_MILLISECOND = 1e6;

	private final Map<String, Long> latestAcknowledgements = new HashMap<>();

	private final Map<String, Long> longestGapsNanoseconds = new TreeMap<>();

	/**
	 * Records an acknowledged write.
	 * @param group database group
	 * @param time time of the monotonic clock in nanoseconds
	 */
	synchronized void recordAcknowledgement(String group, long time) {
		Long previous = this.latestAcknowledgements.put(group, time);
		if (previous != null) {
			this.longestGapsNanoseconds.merge(group, time - previous, Math::max);
		}
	}

	/**
	 * Counts the time from the last acknowledged write to the end of the run as a gap.
	 * @param time end of the run as time of the monotonic clock in nanoseconds
	 */
	synchronized void finish(long time) {
		this.latestAcknowledgements
			.forEach((group, last) -> this.longestGapsNanoseconds.merge(group, time - last, Math::max));
	}

	/**
	 * Returns the longest gaps.
	 * @return the longest gap in milliseconds by group
	 */
	synchronized Map<String, Double> report() {
		Map<String, Double> report = new TreeMap<>();
		this.longestGapsNanoseconds.forEach((group, gap) -> report.put(group, gap / NANOSECONDS_PER_MILLISECOND));
		return report;
	}

}
