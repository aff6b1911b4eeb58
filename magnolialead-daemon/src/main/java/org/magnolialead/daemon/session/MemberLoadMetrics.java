package org.magnolialead.daemon.session;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * Gauges of the limit, the statements in flight and the smoothed time of members. Only
 * the slowest members have gauges, because a daemon may use thousands. Updated on the
 * serial executor; the gauges may be read on any thread.
 */
final class MemberLoadMetrics {

	/** Maximum number of members with gauges. */
	static final int MAXIMUM_MEMBERS = 20;

	private static final String PREFIX = "members.load.";

	private final MetricRegistry registry;

	private volatile int measured;

	private volatile Map<String, Long> values = Map.of();

	MemberLoadMetrics(MetricRegistry registry) {
		this.registry = registry;
		registry.registerGauge("members.measured", (Gauge<Integer>) () -> this.measured);
	}

	/**
	 * Replaces the gauges by those of the slowest members with answered statements.
	 * @param routers routers of all groups
	 */
	void update(Iterable<GroupRouter> routers) {
		List<MemberPool> pools = new ArrayList<>();
		routers.forEach((router) -> router.pools()
			.stream()
			.filter((pool) -> pool.connectionCount() > 0 && pool.smoothedNanoseconds() > 0)
			.forEach(pools::add));
		pools.sort(Comparator.comparingLong(MemberPool::smoothedNanoseconds).reversed());
		Map<String, Long> current = new HashMap<>();
		pools.stream().limit(MAXIMUM_MEMBERS).forEach((pool) -> {
			String name = PREFIX + pool.member().group() + "." + pool.member().member();
			current.put(name + ".limit", (long) pool.limit());
			current.put(name + ".in-flight", (long) pool.inFlight());
			current.put(name + ".smoothed-microseconds", TimeUnit.NANOSECONDS.toMicros(pool.smoothedNanoseconds()));
		});
		Map<String, Long> before = this.values;
		this.values = Map.copyOf(current);
		this.measured = pools.size();
		before.keySet().stream().filter((name) -> !current.containsKey(name)).forEach(this.registry::remove);
		current.keySet()
			.stream()
			.filter((name) -> !before.containsKey(name))
			.forEach((name) -> this.registry.registerGauge(name,
					(Gauge<Long>) () -> this.values.getOrDefault(name, 0L)));
	}

}
