package org.magnolialead.engine.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.magnolialead.api.command.RequestRecord;

/**
 * Idempotency records of non-repeatable requests.
 *
 * @param time time of the ledger in milliseconds since the Unix epoch; records with an
 * earlier deadline have been removed. The leader advances it by elapsed monotonic time,
 * so that a step of the wall clock does not remove records early
 * @param records records by group and idempotency key
 * @param namesByExpiryMinute names of the records by the minute of their deadline, an
 * index for removal; scanning one million records takes 190 ms
 */
public record Ledger(long time, PersistentMap<RequestName, RequestRecord> records,
		PersistentMap<Long, PersistentMap<RequestName, Boolean>> namesByExpiryMinute) {

	/**
	 * Maximum number of records. Further requests are refused so that many non-repeatable
	 * requests cannot exhaust the memory of the control daemons.
	 */
	public static final int LIMIT = 1_000_000;

	static Ledger empty(long time) {
		return new Ledger(time, PersistentMap.empty(), PersistentMap.empty());
	}

	/**
	 * Returns the number of records.
	 * @return the number of records
	 */
	public int size() {
		return this.records.size();
	}

	RequestRecord find(String group, String key) {
		return this.records.get(new RequestName(group, key));
	}

	/**
	 * Adds a record, or replaces one that has the same deadline.
	 * @param group name of the group
	 * @param request the record
	 * @return the next ledger
	 */
	Ledger with(String group, RequestRecord request) {
		RequestName name = new RequestName(group, request.key());
		long minute = expiryMinuteOf(request.forgetDeadline());
		PersistentMap<RequestName, Boolean> names = this.namesByExpiryMinute.get(minute);
		if (names == null) {
			names = PersistentMap.empty();
		}
		boolean listed = names.get(name) != null;
		return new Ledger(this.time, this.records.with(name, request), listed ? this.namesByExpiryMinute
				: this.namesByExpiryMinute.with(minute, names.with(name, Boolean.TRUE)));
	}

	Ledger without(String group, String key) {
		return without(new RequestName(group, key));
	}

	private Ledger without(RequestName name) {
		long minute = expiryMinuteOf(this.records.get(name).forgetDeadline());
		PersistentMap<RequestName, Boolean> names = this.namesByExpiryMinute.get(minute).without(name);
		return new Ledger(this.time, this.records.without(name), (names.size() > 0)
				? this.namesByExpiryMinute.with(minute, names) : this.namesByExpiryMinute.without(minute));
	}

	Ledger withoutExpired(long nextTime) {
		if (nextTime <= this.time) {
			return this;
		}
		List<RequestName> expired = new ArrayList<>();
		this.namesByExpiryMinute.forEach((minute, names) -> {
			if (minute <= expiryMinuteOf(nextTime)) {
				names.forEach((name, present) -> {
					if (isExpired(this.records.get(name), nextTime)) {
						expired.add(name);
					}
				});
			}
		});
		Ledger next = new Ledger(nextTime, this.records, this.namesByExpiryMinute);
		for (RequestName name : expired) {
			next = next.without(name);
		}
		return next;
	}

	private static boolean isExpired(RequestRecord request, long nextTime) {
		return request.forgetDeadline() < nextTime;
	}

	private static long expiryMinuteOf(long deadline) {
		return Math.floorDiv(deadline, TimeUnit.MINUTES.toMillis(1));
	}

	/**
	 * Identifies a non-repeatable request.
	 *
	 * @param group name of the group
	 * @param key idempotency key
	 */
	public record RequestName(String group, String key) {
	}
}
