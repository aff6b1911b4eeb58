package org.magnolialead.engine.consensus;

import java.util.ArrayList;
import java.util.List;

import org.magnolialead.api.message.LogEntry;

/**
 * Disk of a simulated member. A crash loses appended entries that are not synced.
 */
final class SimulatedDisk {

	private final List<List<LogEntry>> unsynced = new ArrayList<>();

	private StoredState synced = StoredState.empty();

	StoredState synced() {
		return this.synced;
	}

	void replace(StoredState state) {
		this.synced = state;
		this.unsynced.clear();
	}

	void append(List<LogEntry> entries) {
		this.unsynced.add(entries);
	}

	int unsyncedBatches() {
		return this.unsynced.size();
	}

	void sync(int batches) {
		for (int count = 0; count < batches && !this.unsynced.isEmpty(); count++) {
			appendSynced(this.unsynced.remove(0));
		}
	}

	void loseUnsynced() {
		this.unsynced.clear();
	}

	long lastIndex() {
		return this.synced.baseIndex() + this.synced.entries().size();
	}

	long lastTerm() {
		List<LogEntry> entries = this.synced.entries();
		return entries.isEmpty() ? this.synced.baseTerm() : entries.get(entries.size() - 1).term();
	}

	void saveVote(Vote vote) {
		this.synced = new StoredState(this.synced.cluster(), vote, this.synced.snapshot(), this.synced.baseIndex(),
				this.synced.baseTerm(), this.synced.entries());
	}

	void joinCluster(String cluster) {
		this.synced = new StoredState(cluster, this.synced.vote(), this.synced.snapshot(), this.synced.baseIndex(),
				this.synced.baseTerm(), this.synced.entries());
	}

	private void appendSynced(List<LogEntry> added) {
		int kept = (int) (added.get(0).index() - 1 - this.synced.baseIndex());
		List<LogEntry> entries = new ArrayList<>(this.synced.entries().subList(0, kept));
		entries.addAll(added);
		this.synced = new StoredState(this.synced.cluster(), this.synced.vote(), this.synced.snapshot(),
				this.synced.baseIndex(), this.synced.baseTerm(), entries);
	}

}
