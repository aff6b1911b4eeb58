package org.magnolialead.ctl.load;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;

/**
 * Statistics of one class of requests. Thread-safe.
 */
final class MixStatistics {

	private static final long HIGHEST_LATENCY_MICROSECONDS = TimeUnit.MINUTES.toMicros(2);

	private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

	private static final double[] PERCENTILES = { 50, 90, 99, 99.9 };

	private final LoadMix mix;

	private final Histogram latencies = new Histogram(HIGHEST_LATENCY_MICROSECONDS, 3);

	private final Map<LoadResult, Long> outcomes = new EnumMap<>(LoadResult.class);

	private final Map<String, Long> members = new TreeMap<>();

	private long offered;

	private long doneWithinTimeout;

	private long servedByReplica;

	MixStatistics(LoadMix mix) {
		this.mix = mix;
	}

	synchronized void recordOffered() {
		this.offered++;
	}

	synchronized void recordResponse(LoadResponse response, long latencyNanoseconds) {
		this.outcomes.merge(response.result(), 1L, Long::sum);
		if (response.result() != LoadResult.DONE) {
			return;
		}
		long microseconds = Math.min(TimeUnit.NANOSECONDS.toMicros(latencyNanoseconds), HIGHEST_LATENCY_MICROSECONDS);
		this.latencies.recordValue(Math.max(0, microseconds));
		if (latencyNanoseconds <= TimeUnit.MILLISECONDS.toNanos(this.mix.timeoutMilliseconds())) {
			this.doneWithinTimeout++;
		}
		if (response.header("magnolialead-member-role").equals("REPLICA")) {
			this.servedByReplica++;
		}
		this.members.merge(response.header("magnolialead-member"), 1L, Long::sum);
	}

	synchronized long answeredCount() {
		return this.outcomes.getOrDefault(LoadResult.DONE, 0L) + this.outcomes.getOrDefault(LoadResult.NOT_RUN, 0L);
	}

	synchronized LoadReport.MixReport report() {
		Map<String, Long> counts = new TreeMap<>();
		this.outcomes.forEach((result, count) -> counts.put(result.name(), count));
		long done = this.outcomes.getOrDefault(LoadResult.DONE, 0L);
		return new LoadReport.MixReport(this.mix.profile(), this.mix.isWrite() ? "write" : "read", this.offered, counts,
				share(this.doneWithinTimeout, this.offered), share(this.servedByReplica, done),
				Map.copyOf(this.members), latencyByPercentile());
	}

	private Map<String, Double> latencyByPercentile() {
		Map<String, Double> latency = new LinkedHashMap<>();
		for (double percentile : PERCENTILES) {
			latency.put("p" + String.valueOf(percentile).replace(".0", ""),
					this.latencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND);
		}
		latency.put("maximum", this.latencies.getMaxValue() / MICROSECONDS_PER_MILLISECOND);
		return latency;
	}

	private static double share(long part, long whole) {
		return (whole != 0) ? (double) part / whole : 0;
	}

}
