package org.magnolialead.engine.control;

import org.magnolialead.api.command.RequestRecord;

/**
 * Records of non-repeatable requests.
 *
 * @param time time of the ledger in milliseconds since 1970; a record whose deadline is
 * before it is gone. The leader advances it by elapsed monotonic time, so that a step of
 * a wall clock cannot remove records early
 * @param size number of records
 * @param byGroup records by group and idempotency key
 */
public record Ledger(long time, int size, PersistentMap<String, PersistentMap<String, RequestRecord>> byGroup) {

	/**
	 * Greatest number of records. Further requests are refused so that a flood of
	 * non-repeatable requests cannot exhaust the memory of the control daemons.
	 */
	public static final int LIMIT = 1_000_000;

	static final Ledger EMPTY = new Ledger(0, 0, PersistentMap.empty());

	RequestRecord find(String group, String key) {
		PersistentMap<String, RequestRecord> records = this.byGroup.get(group);
		return (records != null) ? records.get(key) : null;
	}

	Ledger with(String group, RequestRecord request) {
		PersistentMap<String, RequestRecord> records = this.byGroup.get(group);
		if (records == null) {
			records = PersistentMap.empty();
		}
		return replaced(group, records.with(request.key(), request), this.time);
	}

	Ledger without(String group, String key) {
		return replaced(group, this.byGroup.get(group).without(key), this.time);
	}

	Ledger forgotten(long nextTime) {
		if (nextTime <= this.time) {
			return this;
		}
		Ledger[] next = { new Ledger(nextTime, this.size, this.byGroup) };
		this.byGroup.forEach((group, records) -> {
			PersistentMap<String, RequestRecord> kept = records
				.withoutMatching((key, request) -> request.forgetDeadline() < nextTime);
			if (kept != records) {
				next[0] = next[0].replaced(group, kept, nextTime);
			}
		});
		return next[0];
	}

	private Ledger replaced(String group, PersistentMap<String, RequestRecord> records, long nextTime) {
		PersistentMap<String, RequestRecord> previous = this.byGroup.get(group);
		int nextSize = this.size + records.size() - ((previous != null) ? previous.size() : 0);
		PersistentMap<String, PersistentMap<String, RequestRecord>> nextByGroup = (records.size() > 0)
				? this.byGroup.with(group, records) : this.byGroup.without(group);
		return new Ledger(nextTime, nextSize, nextByGroup);
	}
}
