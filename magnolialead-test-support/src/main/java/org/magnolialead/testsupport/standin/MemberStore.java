package org.magnolialead.testsupport.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnolialead.api.LogPosition;
import org.magnolialead.api.MemberRole;

/**
 * Log, key-value state, role and term of a member. Confined to the event loop.
 */
final class MemberStore {

	private final List<LogRecord> log = new ArrayList<>();

	private final List<Long> receivedAtNanoseconds = new ArrayList<>();

	private final List<LogRecord> executed = new ArrayList<>();

	private final Map<String, JsonNode> values = new HashMap<>();

	private int appliedCount;

	private MemberRole role;

	private long term;

	MemberStore(MemberRole role, long term) {
		this.role = role;
		this.term = term;
	}

	MemberRole role() {
		return this.role;
	}

	long term() {
		return this.term;
	}

	boolean isPrimary() {
		return this.role == MemberRole.PRIMARY;
	}

	/**
	 * Returns the position of the last record in the log, whether or not it has been
	 * applied.
	 * @return the position
	 */
	LogPosition lastReceivedPosition() {
		return positionOf(this.log.size());
	}

	/**
	 * Returns the position of the last applied record, which is the last one that reads
	 * see.
	 * @return the position
	 */
	LogPosition lastAppliedPosition() {
		return positionOf(this.appliedCount);
	}

	JsonNode value(String key) {
		return this.values.getOrDefault(key, NullNode.getInstance());
	}

	List<LogRecord> log() {
		return this.log;
	}

	List<LogRecord> executed() {
		return this.executed;
	}

	boolean promote(long newTerm) {
		if (newTerm <= this.term) {
			return false;
		}
		this.term = newTerm;
		this.role = MemberRole.PRIMARY;
		applyUpTo(this.log.size());
		return true;
	}

	/**
	 * Makes this member a replica. The primary of the same term refuses, because two
	 * members must not be primary in one term.
	 * @param newTerm term of the new primary
	 * @return whether the change was accepted
	 */
	boolean becomeReplica(long newTerm) {
		if (newTerm < this.term || (newTerm == this.term && isPrimary())) {
			return false;
		}
		this.term = newTerm;
		this.role = MemberRole.REPLICA;
		return true;
	}

	/**
	 * Evaluates a statement on top of the earlier statements of its transaction without
	 * changing the store.
	 * @param earlier earlier statements of the transaction
	 * @param statement the statement
	 * @return the result of the statement
	 * @throws StatementException if the statement cannot be executed
	 */
	ObjectNode evaluate(List<Statement> earlier, Statement statement) {
		Map<String, JsonNode> pendingValues = new HashMap<>();
		pendingValues.put(statement.key(), value(statement.key()));
		earlier.stream()
			.filter((other) -> other.key().equals(statement.key()))
			.forEach((other) -> other.operation().apply(pendingValues, other));
		return statement.operation().apply(pendingValues, statement);
	}

	/**
	 * Executes statements on the primary and appends them to the log as one record.
	 * @param statements the statements
	 * @return the result of the last statement
	 * @throws StatementException if a statement cannot be executed; the store is
	 * unchanged in this case
	 */
	ObjectNode execute(List<Statement> statements) {
		Map<String, JsonNode> pendingValues = new HashMap<>();
		ObjectNode result = null;
		for (Statement statement : statements) {
			pendingValues.computeIfAbsent(statement.key(), this::value);
			result = statement.operation().apply(pendingValues, statement);
		}
		this.values.putAll(pendingValues);
		LogRecord logRecord = new LogRecord(this.term, this.log.size() + 1L, System.currentTimeMillis(),
				List.copyOf(statements));
		append(logRecord);
		this.executed.add(logRecord);
		this.appliedCount = this.log.size();
		return result;
	}

	/**
	 * Appends records received from the primary.
	 * @param records records that directly follow the end of the log
	 * @throws IllegalStateException if a record does not follow the end of the log
	 */
	void receive(List<LogRecord> records) {
		for (LogRecord logRecord : records) {
			if (logRecord.index() != this.log.size() + 1L) {
				throw new IllegalStateException(
						"record %d does not follow record %d".formatted(logRecord.index(), this.log.size()));
			}
			append(logRecord);
		}
	}

	/**
	 * Applies the records that were received at least the replication lag ago.
	 * @param lagMilliseconds replication lag in milliseconds
	 * @return time in nanoseconds until the next record is due, or -1 if all records are
	 * applied
	 */
	long applyDue(long lagMilliseconds) {
		long now = System.nanoTime();
		long lagNanoseconds = TimeUnit.MILLISECONDS.toNanos(lagMilliseconds);
		while (this.appliedCount < this.log.size()) {
			long remainingNanoseconds = this.receivedAtNanoseconds.get(this.appliedCount) + lagNanoseconds - now;
			if (remainingNanoseconds > 0) {
				return remainingNanoseconds;
			}
			applyUpTo(this.appliedCount + 1);
		}
		return -1;
	}

	boolean contains(LogPosition position) {
		long index = position.index();
		return index == 0 || (index <= this.log.size() && this.log.get((int) index - 1).term() == position.term());
	}

	/**
	 * Returns an upper bound of the index up to which this log and the log of another
	 * member match.
	 * @param position last log position of the other member, which this log does not
	 * contain
	 * @return the upper bound
	 */
	long commonIndexUpperBound(LogPosition position) {
		long index = Math.min(position.index(), this.log.size());
		while (index > 0 && this.log.get((int) index - 1).term() > position.term()) {
			index--;
		}
		return (index == position.index()) ? index - 1 : index;
	}

	List<LogRecord> recordsAfter(long index, int limit) {
		int from = (int) Math.min(index, this.log.size());
		return List.copyOf(this.log.subList(from, Math.min(this.log.size(), from + limit)));
	}

	/**
	 * Removes the records after an index, because the new primary does not have them.
	 * @param lastIndex index of the last record to keep
	 */
	void truncate(long lastIndex) {
		if (lastIndex >= this.log.size()) {
			return;
		}
		int last = (int) lastIndex;
		this.log.subList(last, this.log.size()).clear();
		this.receivedAtNanoseconds.subList(last, this.receivedAtNanoseconds.size()).clear();
		if (this.appliedCount > last) {
			this.values.clear();
			this.appliedCount = 0;
			applyUpTo(last);
		}
	}

	private void append(LogRecord logRecord) {
		this.log.add(logRecord);
		this.receivedAtNanoseconds.add(System.nanoTime());
	}

	private void applyUpTo(int count) {
		while (this.appliedCount < count) {
			this.log.get(this.appliedCount)
				.statements()
				.forEach((statement) -> statement.operation().apply(this.values, statement));
			this.appliedCount++;
		}
	}

	private LogPosition positionOf(int count) {
		return (count == 0) ? LogPosition.NONE : this.log.get(count - 1).position();
	}

}
