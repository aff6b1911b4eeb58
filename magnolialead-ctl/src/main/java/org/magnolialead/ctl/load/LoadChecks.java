package org.magnolialead.ctl.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.magnolialead.ctl.load.LoadSession.TokenUse;

/**
 * Expected results recorded during a run and the violations found. Thread-safe.
 */
final class LoadChecks {

	private static final int MAXIMUM_EXAMPLES = 20;

	/**
	 * Maximum number of unique keys recorded for each outcome; reading more of them after
	 * the run would take longer than the run itself.
	 */
	private static final int MAXIMUM_RECORDED_KEYS = 2_000;

	private final Map<Violation, Long> violations = new EnumMap<>(Violation.class);

	private final Map<TokenUse, Long> sessionReads = new EnumMap<>(TokenUse.class);

	private final List<String> examples = new ArrayList<>();

	private final Map<CheckedKey, Counter> counters = new TreeMap<>();

	private final Map<LoadResult, List<CheckedKey>> inserts = new EnumMap<>(LoadResult.class);

	private long unverified;

	synchronized void recordViolation(Violation violation, String example) {
		this.violations.merge(violation, 1L, Long::sum);
		if (this.examples.size() < MAXIMUM_EXAMPLES) {
			this.examples.add(violation + ": " + example);
		}
	}

	synchronized void recordSessionRead(TokenUse tokenUse) {
		this.sessionReads.merge(tokenUse, 1L, Long::sum);
	}

	/**
	 * Records the outcome of an increment.
	 * @param key the counter
	 * @param result known outcome of the increment
	 * @param count returned count, used only if the increment is done
	 */
	synchronized void recordIncrement(CheckedKey key, LoadResult result, long count) {
		Counter counter = this.counters.computeIfAbsent(key, (absent) -> new Counter());
		if (result == LoadResult.DONE) {
			counter.acknowledged++;
			if (!counter.returnedCounts.add(count)) {
				recordViolation(Violation.FOREIGN_ANSWER,
						"count %d of %s was returned twice".formatted(count, key.name()));
			}
		}
		else if (result == LoadResult.UNKNOWN) {
			counter.unknown++;
		}
	}

	synchronized void recordInsert(CheckedKey key, LoadResult result) {
		List<CheckedKey> keys = this.inserts.computeIfAbsent(result, (absent) -> new ArrayList<>());
		if (keys.size() < MAXIMUM_RECORDED_KEYS) {
			keys.add(key);
		}
	}

	synchronized List<CheckedKey> counterKeys() {
		return List.copyOf(this.counters.keySet());
	}

	synchronized List<CheckedKey> insertKeys(LoadResult result) {
		return List.copyOf(this.inserts.getOrDefault(result, List.of()));
	}

	synchronized void verifyCounter(CheckedKey key, long count) {
		Counter counter = this.counters.get(key);
		String example = "%s is %d with %d acknowledged and %d unknown increments".formatted(key.name(), count,
				counter.acknowledged, counter.unknown);
		if (count < counter.acknowledged) {
			recordViolation(Violation.LOST_WRITE, example);
		}
		if (count > counter.acknowledged + counter.unknown) {
			recordViolation(Violation.EXECUTED_TWICE, example);
		}
	}

	synchronized void recordUnverified() {
		this.unverified++;
	}

	synchronized LoadReport.CheckReport report() {
		Map<String, Long> found = new TreeMap<>();
		for (Violation violation : Violation.values()) {
			found.put(violation.name(), this.violations.getOrDefault(violation, 0L));
		}
		Map<String, Long> reads = new TreeMap<>();
		this.sessionReads.forEach((tokenUse, count) -> reads.put(tokenUse.name(), count));
		return new LoadReport.CheckReport(found, List.copyOf(this.examples), reads, this.counters.size(),
				insertKeys(LoadResult.DONE).size(), insertKeys(LoadResult.NOT_RUN).size(), this.unverified);
	}

	/**
	 * Kinds of violations.
	 */
	enum Violation {

		/** A read did not return the last acknowledged write of its session. */
		STALE_READ,
		/** A response belongs to another request or is incomplete. */
		FOREIGN_ANSWER,
		/**
		 * A counter is greater than the number of increments that may have been executed.
		 */
		EXECUTED_TWICE,
		/** An acknowledged write is missing. */
		LOST_WRITE,
		/** A write that was reported as not run was executed. */
		RUN_AFTER_NOT_RUN

	}

	/**
	 * Key that is read after the run.
	 *
	 * @param group database group
	 * @param name name of the key
	 */
	record CheckedKey(String group, String name) implements Comparable<CheckedKey> {

		@Override
		public int compareTo(CheckedKey other) {
			int byGroup = this.group.compareTo(other.group);
			return (byGroup != 0) ? byGroup : this.name.compareTo(other.name);
		}

	}

	/**
	 * Recorded increments of a shared counter.
	 */
	private static final class Counter {

		private long acknowledged;

		private long unknown;

		private final Set<Long> returnedCounts = new HashSet<>();

	}

}
