package org.magnolialead.daemon.quota;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * Admitted and rejected operations by client account, and requests to the control leader.
 * The accounts are one gauge, which reports the {@value #MAXIMUM_ACCOUNTS} with most
 * rejections and the sum of the others, so that its size has a bound. May be read on any
 * thread.
 */
final class QuotaMetrics {

	static final int MAXIMUM_ACCOUNTS = 20;

	/** Contains white space, which names of accounts do not. */
	static final String OTHERS = "all others";

	private final Map<String, Counts> accounts = new ConcurrentHashMap<>();

	private final Counts removed = new Counts();

	private final MetricRegistry registry;

	QuotaMetrics(MetricRegistry registry) {
		this.registry = registry;
		registry.registerGauge("quota.accounts", (Gauge<Map<String, Map<String, Long>>>) this::report);
	}

	void admitted(String account) {
		counts(account).admitted.incrementAndGet();
	}

	void rejected(String account) {
		counts(account).rejected.incrementAndGet();
	}

	private Counts counts(String account) {
		return this.accounts.computeIfAbsent(account, (name) -> new Counts());
	}

	void requestSent() {
		this.registry.counter("quota.requests").inc();
	}

	void requestNotAnswered() {
		this.registry.counter("quota.requests-not-answered").inc();
	}

	/**
	 * Adds the counts of accounts that the configuration does not contain any more to
	 * those of the others.
	 * @param names names of the accounts in the configuration
	 */
	void retain(Collection<String> names) {
		this.accounts.entrySet().removeIf((entry) -> {
			boolean gone = !names.contains(entry.getKey());
			if (gone) {
				this.removed.add(entry.getValue());
			}
			return gone;
		});
	}

	private Map<String, Map<String, Long>> report() {
		List<Map.Entry<String, Counts>> ordered = List.copyOf(this.accounts.entrySet())
			.stream()
			.sorted(Comparator.comparingLong((entry) -> -entry.getValue().rejected.get()))
			.toList();
		Map<String, Map<String, Long>> report = new TreeMap<>();
		Counts others = new Counts();
		others.add(this.removed);
		for (int index = 0; index < ordered.size(); index++) {
			if (index < MAXIMUM_ACCOUNTS) {
				report.put(ordered.get(index).getKey(), ordered.get(index).getValue().values());
			}
			else {
				others.add(ordered.get(index).getValue());
			}
		}
		report.put(OTHERS, others.values());
		return report;
	}

	private static final class Counts {

		private final AtomicLong admitted = new AtomicLong();

		private final AtomicLong rejected = new AtomicLong();

		void add(Counts other) {
			this.admitted.addAndGet(other.admitted.get());
			this.rejected.addAndGet(other.rejected.get());
		}

		Map<String, Long> values() {
			return Map.of("admitted", this.admitted.get(), "rejected", this.rejected.get());
		}

	}

}
