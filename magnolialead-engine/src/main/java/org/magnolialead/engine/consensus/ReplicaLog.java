package org.magnolialead.engine.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

import org.magnolialead.api.message.ControlIdentity;
import org.magnolialead.api.message.LogEntry;

/**
 * In-memory log of a member with the latest snapshot and the history of the voters. The
 * log may keep entries that the snapshot covers, so that members that lag slightly behind
 * need no snapshot.
 */
final class ReplicaLog {

	private final List<LogEntry> entries = new ArrayList<>();

	private final TreeMap<Long, List<ControlIdentity>> votersByIndex = new TreeMap<>();

	private ConsensusSnapshot snapshot;

	private long baseIndex;

	private long baseTerm;

	private long bytes;

	ReplicaLog(StoredState stored) {
		this.baseIndex = stored.baseIndex();
		this.baseTerm = stored.baseTerm();
		append(stored.entries());
		this.snapshot = stored.snapshot();
		if (this.snapshot != null) {
			this.votersByIndex.headMap(this.snapshot.lastIndex()).clear();
			this.votersByIndex.put(this.snapshot.lastIndex(), this.snapshot.voters());
			Invariants.require(
					this.baseIndex <= this.snapshot.lastIndex() && this.snapshot.lastIndex() <= lastIndex()
							&& termAt(this.snapshot.lastIndex()) == this.snapshot.lastTerm(),
					"", "log after index %d up to %d does not match the snapshot at index %d", this.baseIndex,
					lastIndex(), this.snapshot.lastIndex());
		}
		else {
			Invariants.require(this.baseIndex == 0, "", "log starts after index %d without a snapshot", this.baseIndex);
		}
	}

	ConsensusSnapshot snapshot() {
		return this.snapshot;
	}

	long snapshotIndex() {
		return (this.snapshot != null) ? this.snapshot.lastIndex() : 0;
	}

	long baseIndex() {
		return this.baseIndex;
	}

	long baseTerm() {
		return this.baseTerm;
	}

	long lastIndex() {
		return this.baseIndex + this.entries.size();
	}

	long lastTerm() {
		return termAt(lastIndex());
	}

	/**
	 * Returns the size of the commands in the log.
	 * @return the size in bytes
	 */
	long bytes() {
		return this.bytes;
	}

	/**
	 * Returns the size of the commands in a range of the log.
	 * @param firstIndex index of the first entry
	 * @param lastIndex index of the last entry; may precede the first one
	 * @return the size in bytes
	 */
	long bytes(long firstIndex, long lastIndex) {
		long size = 0;
		for (long index = firstIndex; index <= lastIndex; index++) {
			size += entry(index).command().length;
		}
		return size;
	}

	/**
	 * Returns the term of an entry.
	 * @param index the index
	 * @return the term, or -1 if the log does not hold the entry
	 */
	long termAt(long index) {
		if (index == this.baseIndex) {
			return this.baseTerm;
		}
		if (index < this.baseIndex || index > lastIndex()) {
			return -1;
		}
		return entry(index).term();
	}

	List<LogEntry> range(long firstIndex, long lastIndex) {
		return List.copyOf(this.entries.subList(position(firstIndex), position(lastIndex) + 1));
	}

	/**
	 * Returns entries for one message.
	 * @param firstIndex index of the first entry
	 * @param maximumEntries maximum number of entries
	 * @param maximumBytes maximum size of the commands in bytes, exceeded only by a
	 * single entry
	 * @return the entries, empty if the log ends before the first index
	 */
	List<LogEntry> batch(long firstIndex, int maximumEntries, int maximumBytes) {
		List<LogEntry> batch = new ArrayList<>();
		long bytes = 0;
		for (long index = firstIndex; index <= lastIndex(); index++) {
			LogEntry entry = entry(index);
			bytes += entry.command().length;
			if (batch.size() == maximumEntries || (bytes > maximumBytes && !batch.isEmpty())) {
				break;
			}
			batch.add(entry);
		}
		return batch;
	}

	void append(List<LogEntry> added) {
		for (LogEntry entry : added) {
			Invariants.require(entry.index() == lastIndex() + 1, "", "entry %d cannot be appended after entry %d",
					entry.index(), lastIndex());
			this.entries.add(entry);
			this.bytes += entry.command().length;
			if (entry.kind() == LogEntry.Kind.VOTERS) {
				this.votersByIndex.put(entry.index(), entry.voters());
			}
		}
	}

	void truncateFrom(long index) {
		this.bytes -= bytes(index, lastIndex());
		this.entries.subList(position(index), this.entries.size()).clear();
		this.votersByIndex.tailMap(index, true).clear();
	}

	/**
	 * Records a snapshot of this log and removes entries that it covers.
	 * @param compacted the snapshot
	 * @param retainedEntries maximum number of covered entries to keep
	 * @param retainedBytes maximum size of the commands in them in bytes
	 */
	void compact(ConsensusSnapshot compacted, int retainedEntries, long retainedBytes) {
		long firstKeptIndex = firstKeptIndex(compacted.lastIndex(), retainedEntries, retainedBytes);
		this.snapshot = compacted;
		this.votersByIndex.headMap(compacted.lastIndex()).clear();
		this.votersByIndex.put(compacted.lastIndex(), compacted.voters());
		long newBase = Math.min(firstKeptIndex - 1, compacted.lastIndex());
		if (newBase > this.baseIndex) {
			long newBaseTerm = termAt(newBase);
			this.bytes -= bytes(this.baseIndex + 1, newBase);
			this.entries.subList(0, (int) (newBase - this.baseIndex)).clear();
			this.baseIndex = newBase;
			this.baseTerm = newBaseTerm;
		}
	}

	private long firstKeptIndex(long lastCovered, int retainedEntries, long retainedBytes) {
		long size = 0;
		long index = lastCovered + 1;
		while (index > this.baseIndex + 1 && index > lastCovered + 1 - retainedEntries) {
			size += entry(index - 1).command().length;
			if (size > retainedBytes) {
				break;
			}
			index--;
		}
		return index;
	}

	void reset(ConsensusSnapshot installed) {
		this.snapshot = installed;
		this.entries.clear();
		this.bytes = 0;
		this.baseIndex = installed.lastIndex();
		this.baseTerm = installed.lastTerm();
		this.votersByIndex.clear();
		this.votersByIndex.put(installed.lastIndex(), installed.voters());
	}

	List<ControlIdentity> voters() {
		return this.votersByIndex.isEmpty() ? List.of() : this.votersByIndex.lastEntry().getValue();
	}

	long votersIndex() {
		return this.votersByIndex.isEmpty() ? 0 : this.votersByIndex.lastKey();
	}

	List<ControlIdentity> votersAt(long index) {
		var entry = this.votersByIndex.floorEntry(index);
		return (entry != null) ? entry.getValue() : List.of();
	}

	private LogEntry entry(long index) {
		return this.entries.get(position(index));
	}

	private int position(long index) {
		return (int) (index - this.baseIndex - 1);
	}

}
