package org.magnolialead.daemon.filter;

import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.magnolialead.api.Outcome;
import org.magnolialead.api.Rank;

/**
 * Metrics of callers' requests by rank, outcome and profile.
 */
public final class ServedRequestMetrics {

	private final Map<Rank, Map<Outcome, Counter>> counters = new EnumMap<>(Rank.class);

	private final Map<Rank, Map<Outcome, Timer>> timers = new EnumMap<>(Rank.class);

	private final MetricRegistry registry;

	/**
	 * Creates the metrics {@code requests.<rank>.<outcome>},
	 * {@code latency.<rank>.<outcome>}, {@code profile.<profile>.total} and
	 * {@code profile.<profile>.within-deadline}.
	 * @param registry registry to add them to
	 */
	public ServedRequestMetrics(MetricRegistry registry) {
		this.registry = Objects.requireNonNull(registry, "registry must not be null");
		for (Rank rank : Rank.values()) {
			this.counters.put(rank, new EnumMap<>(Outcome.class));
			this.timers.put(rank, new EnumMap<>(Outcome.class));
			for (Outcome outcome : Outcome.values()) {
				String suffix = rank + "." + outcome;
				this.counters.get(rank).put(outcome, registry.counter("requests." + suffix));
				this.timers.get(rank).put(outcome, registry.timer("latency." + suffix));
			}
		}
	}

	/**
	 * Counts an answered request.
	 * @param rank its rank
	 * @param outcome outcome that was reported to the caller
	 * @param nanoseconds time from receipt to the answer in nanoseconds
	 */
	public void answered(Rank rank, Outcome outcome, long nanoseconds) {
		this.counters.get(rank).get(outcome).inc();
		this.timers.get(rank).get(outcome).update(nanoseconds, TimeUnit.NANOSECONDS);
	}

	/**
	 * Counts a request towards the service level of its profile. Must not be called for
	 * requests that failed because of the caller.
	 * @param profile name of the profile
	 * @param withinDeadline whether it was executed and answered before its deadline
	 */
	public void countForServiceLevel(String profile, boolean withinDeadline) {
		this.registry.counter("profile." + profile + ".total").inc();
		Counter within = this.registry.counter("profile." + profile + ".within-deadline");
		if (withinDeadline) {
			within.inc();
		}
	}

}
